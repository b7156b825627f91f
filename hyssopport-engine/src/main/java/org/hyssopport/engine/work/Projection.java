package org.hyssopport.engine.work;

import org.hyssopport.engine.platform.StoredRecord;

/**
 * A state that is computed from the records of one stream, alike by every reader.
 *
 * @since 0.1
 * @see StreamFollower
 */
public interface Projection {

  /**
   * Applies one record.
   *
   * @return false if the record is invalid in this state and changed nothing
   */
  boolean apply(StoredRecord stored, StreamRecord record);

  /** Returns the printed state. */
  String snapshot();

  /** Replaces the state by a printed one. */
  void restore(String state);
}
