package org.hyssopport.engine.platform;

/**
 * The result of an append to the log, as far as the writer knows it.
 *
 * @since 0.1
 */
public enum AppendResult {
  /** The log stored the records. */
  APPENDED,
  /** The log certainly did not store the records. */
  REFUSED,
  /** The log may have stored the records; the writer finds out only by reading the stream. */
  LOST
}
