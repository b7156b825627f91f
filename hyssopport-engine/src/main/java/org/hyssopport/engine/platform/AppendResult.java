package org.hyssopport.engine.platform;

/**
 * What is known of an append.
 *
 * @since 0.1
 */
public enum AppendResult {
  /** The log took the records. */
  APPENDED,
  /** The log surely did not take the records. */
  REFUSED,
  /** The log may have taken the records; only reading tells. */
  LOST
}
