package org.hyssopport.engine.worker;

/**
 * How far a run has got, as the scheduler knows it.
 *
 * @since 0.2
 */
public enum RunPhase {
  /** Its assignment is being stored; no order was sent. */
  STORING,
  /** Its start was ordered and not answered yet. */
  ORDERED,
  /** The worker has confirmed the start. */
  RUNNING,
  /** Its stop was decided; the worker may still run it. */
  STOPPING,
  /** An earlier scheduler assigned it, and its worker was not read since. */
  INHERITED;

  /** Tells whether the worker may be running it. */
  public boolean mayRun() {
    return this != STORING;
  }
}
