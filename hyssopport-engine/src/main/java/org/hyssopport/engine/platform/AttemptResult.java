package org.hyssopport.engine.platform;

/**
 * How an attempt ended on a worker.
 *
 * @since 0.1
 */
public enum AttemptResult {
  /** It ran to its end. */
  DONE,
  /** It ran and failed. */
  FAILED,
  /** It was stopped on request, after a checkpoint if one was asked for. */
  STOPPED,
  /** The worker stopped it because its lease passed. */
  LAPSED
}
