package org.hyssopport.engine.scheduler;

import org.hyssopport.engine.worker.WorkerRunReport;

/**
 * How a worker answered a look.
 *
 * @since 0.2
 */
public sealed interface PollResult {

  /**
   * It reported.
   *
   * @param report what it said
   */
  record Reported(WorkerRunReport report) implements PollResult {}

  /** It knows a newer scheduler. */
  record Fenced() implements PollResult {}

  /** Another incarnation answers at that address. */
  record OtherIncarnation() implements PollResult {}

  /** It gave no answer, or none that can be read. */
  record Unanswered() implements PollResult {}
}
