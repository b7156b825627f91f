package org.hyssopport.engine;

/**
 * What became of a caller's work.
 *
 * @since 0.1
 */
public enum Outcome {
  /** It ran to its end. */
  DONE,
  /** It ran and failed. */
  FAILED,
  /** It is proved that it did not run and will not run. */
  NOT_RUN,
  /** It may have run; the id tells later. */
  UNKNOWN
}
