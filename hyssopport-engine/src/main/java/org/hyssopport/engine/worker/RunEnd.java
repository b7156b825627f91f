package org.hyssopport.engine.worker;

/**
 * How a run ended.
 *
 * @since 0.2
 */
public enum RunEnd {
  /** It did its work. */
  DONE,
  /** It failed by its own or by the worker's fault. */
  FAILED,
  /** It was stopped by an order. */
  STOPPED,
  /** The worker's lease ran out. */
  LAPSED,
  /** Another member of its gang ended. */
  BROKEN,
  /** It waited in vain for the other members of its gang. */
  ALONE
}
