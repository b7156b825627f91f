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
 * Selects the workers that a call to the advice service asks about.
 *
 * <p>Optimised for a workload in which calls for advice rather than free resources are the
 * bottleneck, such as the backlog after an outage. Each worker named makes a call longer, while
 * naming too few costs a further call with its fixed part. A call therefore names as many workers
 * as the tasks are likely to need, starting with those that can run the most.
 *
 * @since 0.2
 */
public final class AdviceWorkerSelector {

  /**
   * The capacity to ask about, as a multiple of the capacity needed: some of it is taken by other
   * tasks before the answer arrives.
   */
  private static final double CAPACITY_MARGIN = 1.5;

  /**
   * The capacity to ask about for a gang, as a multiple of the capacity needed: all tasks of a gang
   * must fit at the same moment.
   */
  private static final double GANG_CAPACITY_MARGIN = 3;

  /**
   * Workers that together lengthen a call by no more than this share of its fixed part cost little,
   * so a call names at least that many.
   */
  private static final double NEGLIGIBLE_COST_SHARE = 0.25;

  /** The most workers that the advice service accepts in one call. */
  private static final int MAXIMUM_WORKERS_PER_CALL = 100;

  private AdviceWorkerSelector() {}

  /**
   * Returns the workers to ask about: only good ones if all tasks fit on them.
   *
   * @param step the definition of the step
   * @param tasks how many tasks have to be placed
   * @param good available workers that the service is known to allow for the step
   * @param unknown available workers that no answered call for the step has asked about
   * @param goodShare the expected share of good workers among the unknown ones, from 0 to 1
   * @param policy the duration of a call
   * @return the workers; empty if a call would not help
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
