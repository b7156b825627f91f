package org.hyssopport.engine.platform;

/**
 * The phase of an attempt, as its worker knows it.
 *
 * @since 0.1
 */
public enum AttemptPhase {
  /** The attempt is running. */
  RUNNING,
  /** The attempt ran and has ended. */
  ENDED,
  /** The attempt never ran on this worker, and the worker will refuse to start it. */
  FENCED,
  /** The worker has no record of the attempt. */
  NEVER_SEEN
}
