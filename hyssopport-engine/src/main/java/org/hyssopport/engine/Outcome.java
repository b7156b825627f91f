package org.hyssopport.engine;

/**
 * The outcome of a request or a job.
 *
 * @since 0.1
 */
public enum Outcome {
  /** The work ran to completion. */
  DONE,
  /** The work ran and failed. */
  FAILED,
  /** The work provably did not run and will not run. */
  NOT_RUN,
  /** The work may have run; its outcome can be queried later by its id. */
  UNKNOWN
}
