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
  private static final double ROOM_MARGIN = 1.5;

  /** The same for a gang, which needs all its room at one moment. */
  private static final double GANG_MARGIN = 3;

  /** Workers that add no more than this share to the fixed part of a call are always named. */
  private static final double CHEAP_SHARE = 0.25;

  /** The service's limit of workers in one call. */
  private static final int MOST_NAMED = 100;

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
  public static List<WorkerId> choose(
      StepDefinition step,
      int tasks,
      List<Candidate> good,
      List<Candidate> unknown,
      double goodShare,
      AdvicePolicy policy) {
    List<WorkerId> again = Placer.place(step, tasks, good);
    if (again.size() == tasks) {
      return again.stream().distinct().toList();
    }
    List<Candidate> emptiestFirst = new ArrayList<>(unknown);
    emptiestFirst.removeIf(each -> fitting(step, each, tasks) == 0);
    if (emptiestFirst.isEmpty()) {
      return again.stream().distinct().toList();
    }
    emptiestFirst.sort(
        Comparator.comparingInt((Candidate each) -> -fitting(step, each, tasks))
            .thenComparing(Candidate::worker));
    List<WorkerId> named = new ArrayList<>();
    double expected = 0;
    for (Candidate each : good) {
      if (fitting(step, each, tasks) > 0 && named.size() < MOST_NAMED) {
        named.add(each.worker());
        expected += fitting(step, each, tasks);
      }
    }
    int cheap = cheapCount(policy);
    for (Candidate each : emptiestFirst) {
      boolean enough =
          expected >= (step.gang() ? GANG_MARGIN : ROOM_MARGIN) * tasks && named.size() >= cheap;
      if (enough || named.size() >= MOST_NAMED) {
        break;
      }
      named.add(each.worker());
      expected += goodShare * fitting(step, each, tasks);
    }
    return named;
  }

  private static int fitting(StepDefinition step, Candidate candidate, int tasks) {
    return Math.min(candidate.fitting(step.demand()), tasks);
  }

  private static int cheapCount(AdvicePolicy policy) {
    Duration each = policy.perWorker();
    return each.isZero()
        ? MOST_NAMED
        : (int) (CHEAP_SHARE * policy.decide().toNanos() / each.toNanos());
  }
}
