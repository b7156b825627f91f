package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.util.Optional;
import org.hyssopport.engine.job.JobState;

/**
 * What a caller is told.
 *
 * @param verdict the verdict
 * @param state the state of the job, where it was asked for
 * @param retryAfter when to come back, where that helps
 * @since 0.2
 */
public record CallerAnswer(
    Verdict verdict, Optional<JobState> state, Optional<Duration> retryAfter) {

  /** How a request ended. */
  public enum Verdict {
    /** The job is stored and will run. */
    ACCEPTED,
    /** The job is not stored and never runs by this request, for want of room. */
    REJECTED,
    /** Nothing was done, since something that is needed can't be reached. */
    UNAVAILABLE,
    /** Whether the request took effect is not known. */
    UNCERTAIN,
    /** The state of the job. */
    STATE,
    /** The job is cancelled, or was over. */
    CANCELLED,
    /** No such job exists. */
    UNKNOWN_JOB;

    /** Tells whether it says that nothing was done. */
    public boolean isRefusal() {
      return this == REJECTED || this == UNAVAILABLE;
    }
  }

  /** Returns an answer that says no more than its verdict. */
  public static CallerAnswer of(Verdict verdict) {
    return new CallerAnswer(verdict, Optional.empty(), Optional.empty());
  }

  /** Returns an answer that shows a state. */
  public static CallerAnswer state(JobState state) {
    return new CallerAnswer(Verdict.STATE, Optional.of(state), Optional.empty());
  }

  /** Returns an answer that says when to come back. */
  public static CallerAnswer withRetryAfter(Verdict verdict, Duration retryAfter) {
    return new CallerAnswer(verdict, Optional.empty(), Optional.of(retryAfter));
  }
}
