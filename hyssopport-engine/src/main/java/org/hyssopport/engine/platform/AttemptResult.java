package org.hyssopport.engine.platform;

/**
 * How an attempt ended on a worker.
 *
 * @since 0.1
 */
public enum AttemptResult {
  /** The attempt ran to completion. */
  DONE,
  /** The attempt ran and failed. */
  FAILED,
  /** The attempt was stopped on request, after saving a checkpoint if the request asked for one. */
  STOPPED,
  /** The worker stopped the attempt because its horizon passed without an extension. */
  LAPSED
}
