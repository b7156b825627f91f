package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;

/**
 * The state of a job as reported to callers.
 *
 * @param id the job's id
 * @param className the name of the work class
 * @param state whether the job waits, runs or has ended
 * @param outcome the outcome, once the job has ended
 * @param reason the reason for the outcome; {@link Reason#UNFINISHED} until the job has ended
 * @param tasks the number of tasks
 * @param waiting the number of tasks that have not ended and have no open attempt
 * @param running the number of tasks with an open attempt
 * @param done the number of tasks that ran to completion
 * @param acceptedAt when the log accepted the job
 * @since 0.1
 */
public record JobView(
    String id,
    String className,
    State state,
    Optional<Outcome> outcome,
    Reason reason,
    int tasks,
    int waiting,
    int running,
    int done,
    Instant acceptedAt) {

  /** The states of a job. */
  public enum State {
    /** The job has not ended, and no task has an open attempt. */
    WAITING,
    /** At least one task has an open attempt. */
    RUNNING,
    /** Every task has ended. */
    ENDED
  }
}
