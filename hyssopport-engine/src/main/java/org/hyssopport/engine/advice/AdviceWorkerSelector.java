package org.hyssopport.engine.advice;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.placement.Candidate;
import org.hyssopport.engine.placement.Placer;
import org.hyssopport.engine.platform.WorkerId;

/**
 * Chooses the workers that a call for advice names.
 *
 * <p>The load pattern answered is a backlog after an outage, when calls for advice and not room
 * bind: each worker named makes the call longer, and naming too few costs another call with its
 * fixed part. So as many are named as are likely to give room for the tasks, the emptiest first.
 *
 * @since 0.2
 */
public final class AdviceWorkerSelector {

  /**
   * The room that is asked for, in terms of the room that is needed; some is gone by the answer.
   */
  private static final double CAPACITY_MARGIN = 1.5;

  /** The same for a gang, which needs all its room at one moment. */
  private static final double GANG_CAPACITY_MARGIN = 3;

  /** Workers that add no more than this share to the fixed part of a call are always named. */
  private static final double NEGLIGIBLE_COST_SHARE = 0.25;

  /** The service's limit of workers in one call. */
  private static final int MAXIMUM_WORKERS_PER_CALL = 100;

  private AdviceWorkerSelector() {}

  /**
   * Returns the workers to name.
   *
   * @param step the step
   * @param tasks how many tasks have to be placed
   * @param good workers with room that are known to be good
   * @param unknown workers with room that were not asked about
   * @param goodShare the share of unknown workers that is expected to be good
   * @param policy what a call costs
   * @return the workers; none if asking would not help
   */
  public static List<WorkerId> select(
      StepDefinition step,
      int tasks,
      List<Candidate> good,
      List<Candidate> unknown,
      double goodShare,
      AdvicePolicy policy) {
    List<WorkerId> placedOnGood = Placer.place(step, tasks, good);
    if (placedOnGood.size() == tasks) {
      return placedOnGood.stream().distinct().toList();
    }
    List<Candidate> emptiestFirst = new ArrayList<>(unknown);
    emptiestFirst.removeIf(candidate -> fittingTasks(step, candidate, tasks) == 0);
    if (emptiestFirst.isEmpty()) {
      return placedOnGood.stream().distinct().toList();
    }
    emptiestFirst.sort(
        Comparator.comparingInt((Candidate candidate) -> -fittingTasks(step, candidate, tasks))
            .thenComparing(Candidate::worker));
    List<WorkerId> selected = new ArrayList<>();
    double expectedTasks = 0;
    for (Candidate candidate : good) {
      if (fittingTasks(step, candidate, tasks) > 0 && selected.size() < MAXIMUM_WORKERS_PER_CALL) {
        selected.add(candidate.worker());
        expectedTasks += fittingTasks(step, candidate, tasks);
      }
    }
    int minimumWorkers = minimumWorkersPerCall(policy);
    for (Candidate candidate : emptiestFirst) {
      boolean enough =
          expectedTasks >= (step.gang() ? GANG_CAPACITY_MARGIN : CAPACITY_MARGIN) * tasks
              && selected.size() >= minimumWorkers;
      if (enough || selected.size() >= MAXIMUM_WORKERS_PER_CALL) {
        break;
      }
      selected.add(candidate.worker());
      expectedTasks += goodShare * fittingTasks(step, candidate, tasks);
    }
    return selected;
  }

  private static int fittingTasks(StepDefinition step, Candidate candidate, int tasks) {
    return Math.min(candidate.fittingTasks(step.demand()), tasks);
  }

  private static int minimumWorkersPerCall(AdvicePolicy policy) {
    Duration perWorker = policy.perWorker();
    return perWorker.isZero()
        ? MAXIMUM_WORKERS_PER_CALL
        : (int) (NEGLIGIBLE_COST_SHARE * policy.decide().toNanos() / perWorker.toNanos());
  }
}
