package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.util.Optional;
import org.hyssopport.engine.job.JobState;

/**
 * The answer to a caller's request.
 *
 * @param verdict how the request ended
 * @param state the state of the job, if the request asked for it
 * @param retryAfter how long to wait before a retry, if a retry may help
 * @since 0.2
 */
public record CallerAnswer(
    Verdict verdict, Optional<JobState> state, Optional<Duration> retryAfter) {

  /** How a request ended. */
  public enum Verdict {
    /** The job is stored and will run. */
    ACCEPTED,
    /** There is no capacity for the job: it is not stored and this request never makes it run. */
    REJECTED,
    /** The job is larger than the journal can hold: it is not stored, and a retry is of no use. */
    TOO_LARGE,
    /**
     * A task or gang of the job is larger than what its organisation may have running at all: it is
     * not stored, and a retry is of no use while the limit stands.
     */
    EXCEEDS_LIMIT,
    /** The id belongs to a job of another organisation: nothing is stored, now or later. */
    ID_IN_USE,
    /** Nothing was done, because a component that the request needs could not be reached. */
    UNAVAILABLE,
    /** It is not known whether the request took effect. */
    UNCERTAIN,
    /** The answer shows the state of the job. */
    STATE,
    /** The job is cancelled or had ended before. */
    CANCELLED,
    /** No such job exists. */
    UNKNOWN_JOB;

    /** Returns whether the verdict can be the answer to a request of this kind. */
    public boolean answers(CallerRequest request) {
      return switch (this) {
        case ACCEPTED, REJECTED, TOO_LARGE, EXCEEDS_LIMIT, ID_IN_USE ->
            request instanceof CallerRequest.Submit;
        case STATE -> request instanceof CallerRequest.Show;
        case CANCELLED -> request instanceof CallerRequest.Cancel;
        case UNKNOWN_JOB -> !(request instanceof CallerRequest.Submit);
        case UNAVAILABLE, UNCERTAIN -> true;
      };
    }

    /** Returns whether the verdict says that the request had no effect. */
    public boolean isRefusal() {
      return switch (this) {
        case REJECTED, TOO_LARGE, EXCEEDS_LIMIT, ID_IN_USE, UNAVAILABLE -> true;
        case ACCEPTED, UNCERTAIN, STATE, CANCELLED, UNKNOWN_JOB -> false;
      };
    }
  }

  /** Returns an answer that consists of a verdict only. */
  public static CallerAnswer of(Verdict verdict) {
    return new CallerAnswer(verdict, Optional.empty(), Optional.empty());
  }

  /** Returns an answer that shows the state of a job. */
  public static CallerAnswer state(JobState state) {
    return new CallerAnswer(Verdict.STATE, Optional.of(state), Optional.empty());
  }

  /** Returns an answer that tells the caller when to retry. */
  public static CallerAnswer withRetryAfter(Verdict verdict, Duration retryAfter) {
    return new CallerAnswer(verdict, Optional.empty(), Optional.of(retryAfter));
  }
}
