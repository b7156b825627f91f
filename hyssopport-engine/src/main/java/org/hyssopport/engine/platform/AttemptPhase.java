package org.hyssopport.engine.platform;

/**
 * What a worker knows of one attempt.
 *
 * @since 0.1
 */
public enum AttemptPhase {
  /** It runs. */
  RUNNING,
  /** It ran and ended. */
  ENDED,
  /** It never ran here, and a start of it will be refused. */
  FENCED,
  /** The worker has no record of it. */
  NEVER_SEEN
}
