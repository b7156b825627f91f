package org.hyssopport.engine.placement;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.Step;

/**
 * Orders steps that wait.
 *
 * <p>The load pattern answered is a swing past capacity: with the earliest objective first, one
 * late job makes all behind it late. So jobs that can still meet their objective come first by
 * priority and slack; jobs that are late already come after them, those that can still be of use
 * first.
 *
 * @since 0.2
 */
public final class StepOrder {

  /** A job is of use to its caller until this many times its objective. */
  private static final int USELESS_AFTER_MULTIPLE = 3;

  private StepOrder() {}

  /** Returns the order at an instant. */
  public static Comparator<Step> at(Instant now) {
    return Comparator.comparing((Step step) -> Urgency.of(step.job(), now))
        .thenComparingInt(step -> step.job().definition().queue().priority())
        .thenComparing(step -> latestStart(step))
        .thenComparing(step -> step.id().toString());
  }

  private static Instant latestStart(Step step) {
    return step.job().objective().minus(step.definition().estimate());
  }

  /** How much use a job still is to its caller. */
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
