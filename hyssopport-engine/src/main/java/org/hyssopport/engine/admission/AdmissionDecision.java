package org.hyssopport.engine.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether a job is admitted, and what the decision rests on.
 *
 * @param outcome what is decided
 * @param workAhead the work that it waits for, in processor-seconds
 * @param workPerSecond how much of that can be started in a second
 * @param earliestEnd when it would end at the earliest
 * @param limit the latest end with which it is admitted
 * @param retryAfter when its caller may come back if it is refused
 * @since 0.3
 */
public record AdmissionDecision(
    Outcome outcome,
    double workAhead,
    double workPerSecond,
    Instant earliestEnd,
    Instant limit,
    Duration retryAfter) {

  /** What is decided about a job. */
  public enum Outcome {
    /** It may still be of use. */
    ADMITTED,
    /** More work comes before it than all workers can start while it is of use. */
    NO_ROOM_IN_TIME,
    /**
     * More work of its organisation comes before it than the organisation may have running while it
     * is of use.
     */
    LIMIT_REACHED
  }

  /** Returns whether the job is refused. */
  public boolean isRefusal() {
    return outcome != Outcome.ADMITTED;
  }
}
