package org.hyssopport.engine.scheduler;

import org.hyssopport.engine.worker.WorkerRunReport;

/**
 * The result of polling a worker.
 *
 * @since 0.2
 */
public sealed interface PollResult {

  /**
   * The worker reported its runs.
   *
   * @param report the report
   */
  record Reported(WorkerRunReport report) implements PollResult {}

  /** The worker has accepted a scheduler of a newer term. */
  record Fenced() implements PollResult {}

  /** Another incarnation answered at that address. */
  record OtherIncarnation() implements PollResult {}

  /** The worker gave no answer, or one that could not be parsed. */
  record Unanswered() implements PollResult {}
}
