package org.hyssopport.engine.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.Step;

/**
 * Orders ready steps by urgency.
 *
 * <p>Optimised for load that temporarily exceeds the capacity: if the earliest objective always
 * came first, one late job would make all jobs behind it late. Jobs that can still meet their
 * objective therefore come first; late jobs follow, those that are still useful to their callers
 * before the others. Within each of these groups, steps are ordered by priority and then by the
 * latest start that meets the objective.
 *
 * @since 0.2
 */
public final class StepOrder {

  /** A result is useful to the caller up to this multiple of the time that the job is allowed. */
  private static final int USELESS_AFTER_MULTIPLE = 3;

  private StepOrder() {}

  /** Returns the order that applies at the given instant of the local monotonic clock. */
  public static Comparator<Step> at(Instant now) {
    return Comparator.comparing((Step step) -> Urgency.of(step.job(), now))
        .thenComparingInt(step -> step.job().queue().priority())
        .thenComparing(step -> latestStart(step))
        .thenComparing(step -> step.id().toString());
  }

  /** Returns whether a result of the step's job no longer is of use to its caller. */
  public static boolean isUseless(Step step, Instant now) {
    return Urgency.of(step.job(), now) == Urgency.USELESS;
  }

  private static Instant latestStart(Step step) {
    return step.job().objective().minus(step.definition().estimate());
  }

  /** How useful a result of the job still is to the caller. */
  private enum Urgency {
    IN_TIME,
    LATE,
    USELESS;

    static Urgency of(Job job, Instant now) {
      Instant objective = job.objective();
      if (now.isBefore(objective)) {
        return IN_TIME;
      }
      Duration allowed = Duration.between(job.acceptedAt(), objective);
      Instant uselessFrom = job.acceptedAt().plus(allowed.multipliedBy(USELESS_AFTER_MULTIPLE));
      return now.isBefore(uselessFrom) ? LATE : USELESS;
    }
  }
}
