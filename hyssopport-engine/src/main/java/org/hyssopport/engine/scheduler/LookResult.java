package org.hyssopport.engine.scheduler;

import org.hyssopport.engine.worker.WorkerReport;

/**
 * How a worker answered a look.
 *
 * @since 0.2
 */
public sealed interface LookResult {

  /**
   * It reported.
   *
   * @param report what it said
   */
  record Reported(WorkerReport report) implements LookResult {}

  /** It knows a newer scheduler. */
  record Fenced() implements LookResult {}

  /** Another incarnation answers at that address. */
  record OtherIncarnation() implements LookResult {}

  /** It gave no answer, or none that can be read. */
  record Unanswered() implements LookResult {}
}
