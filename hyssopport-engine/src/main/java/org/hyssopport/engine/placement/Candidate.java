package org.hyssopport.engine.placement;

import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;

/**
 * A worker that a step's tasks may be placed on.
 *
 * @param worker the worker
 * @param rack the rack of the worker
 * @param freeResources the resources of the worker that are neither used nor reserved for other
 *     steps
 * @param mostTasks how many of the step's tasks the limits other than resources still allow on the
 *     worker
 * @param trial whether the worker has failed its last tasks and is to be tried with one
 * @since 0.2
 */
public record Candidate(
    WorkerId worker, String rack, Resources freeResources, int mostTasks, boolean trial) {

  /** Returns how many tasks of the given demand fit, at most {@code mostTasks}. */
  public int fittingTasks(Resources demand) {
    long fits = mostTasks;
    fits = Math.min(fits, countFitting(freeResources.milliProcessors(), demand.milliProcessors()));
    fits = Math.min(fits, countFitting(freeResources.memoryMebibytes(), demand.memoryMebibytes()));
    fits = Math.min(fits, countFitting(freeResources.accelerators(), demand.accelerators()));
    return (int) Math.max(0, fits);
  }

  private static long countFitting(long free, long demand) {
    return demand <= 0 ? Integer.MAX_VALUE : free / demand;
  }
}
