package org.hyssopport.engine.work;

import org.hyssopport.engine.platform.StoredRecord;

/**
 * State computed from the records of one stream.
 *
 * <p>The state depends only on the records and their order, so all readers compute the same state.
 *
 * @since 0.1
 * @see StreamFollower
 */
public interface Projection {

  /**
   * Applies one record.
   *
   * @param stored the record as read, with its offset and the time of its append
   * @param record the decoded record
   * @return false if the record is not valid in this state and therefore changed nothing
   */
  boolean apply(StoredRecord stored, StreamRecord record);

  /** Returns the encoded state. */
  String snapshot();

  /** Replaces the state by one that {@link #snapshot()} returned. */
  void restore(String state);
}
