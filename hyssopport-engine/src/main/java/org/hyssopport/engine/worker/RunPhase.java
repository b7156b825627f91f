package org.hyssopport.engine.worker;

/**
 * The phase of a run, as far as the scheduler knows.
 *
 * @since 0.2
 */
public enum RunPhase {
  /** The assignment is being stored; no order has been sent. */
  STORING,
  /** A start order has been sent and not been answered. */
  ORDERED,
  /** The worker has confirmed the start. */
  RUNNING,
  /** A stop order has been sent; the worker may still be running it. */
  STOPPING,
  /** An earlier scheduler assigned it; the worker has not reported to this scheduler yet. */
  INHERITED;

  /** Returns whether the worker may be running it. */
  public boolean mayRun() {
    return this != STORING;
  }
}
