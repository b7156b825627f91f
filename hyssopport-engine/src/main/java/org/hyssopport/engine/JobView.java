package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;

/**
 * A job as callers see it.
 *
 * @param id the job's id
 * @param className the work class
 * @param state where it stands
 * @param outcome what became of it, once it has ended
 * @param reason why
 * @param tasks the number of tasks
 * @param waiting tasks that wait
 * @param running tasks with an open attempt
 * @param done tasks that ran to their end
 * @param acceptedAt when the log took it
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

  /** Where a job stands. */
  public enum State {
    /** No task has an open attempt. */
    WAITING,
    /** Some task has an open attempt. */
    RUNNING,
    /** Every task has ended. */
    ENDED
  }
}
