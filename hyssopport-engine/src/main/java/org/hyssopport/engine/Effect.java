package org.hyssopport.engine;

import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.StreamRecord;

/**
 * Something that an entry instance must do.
 *
 * @since 0.1
 * @see EntryEngine
 */
public sealed interface Effect {

  /**
   * Answer a caller.
   *
   * @param handle names the waiting caller
   * @param answer what to tell
   */
  record Reply(long handle, Answer answer) implements Effect {}

  /**
   * Call a worker.
   *
   * @param worker the worker
   * @param address its host and port
   * @param call the call
   */
  record CallWorker(WorkerId worker, String address, WorkerCall call) implements Effect {}

  /**
   * Append a record to the log.
   *
   * @param stream the stream
   * @param recordId an id that no other record has
   * @param record the record
   */
  record Append(StreamName stream, String recordId, StreamRecord record) implements Effect {}

  /**
   * Send a message to a peer.
   *
   * @param address the peer link's host and port
   * @param envelope the message
   */
  record SendToPeer(String address, PeerMessage.Envelope envelope) implements Effect {}

  /**
   * Record an event on the time line.
   *
   * @param kind what happened
   * @param subject to what
   * @param detail more about it
   */
  record RecordTimelineEvent(TimelineKind kind, String subject, String detail) implements Effect {}

  /** Everything is finished: the process may end. */
  record Drained() implements Effect {}
}
