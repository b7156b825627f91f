package org.hyssopport.engine.worker;

/**
 * How a run of a task ended.
 *
 * @since 0.2
 */
public enum RunEnd {
  /** The task completed. */
  DONE,
  /** The run failed, through its own fault or the worker's. */
  FAILED,
  /** The run was stopped by an order. */
  STOPPED,
  /** The worker's lease expired. */
  LAPSED,
  /** Another task of the gang ended. */
  BROKEN,
  /** The run timed out waiting for the other tasks of its gang to start. */
  ALONE
}
