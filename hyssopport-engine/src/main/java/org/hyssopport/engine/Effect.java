package org.hyssopport.engine;

import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.StreamRecord;

/**
 * An action that the engine asks its entry instance to carry out.
 *
 * @since 0.1
 * @see EntryEngine
 */
public sealed interface Effect {

  /**
   * Reply to a call.
   *
   * @param handle identifies the call that waits for its reply
   * @param answer the reply
   */
  record Reply(long handle, Answer answer) implements Effect {}

  /**
   * Call a worker.
   *
   * @param worker the worker
   * @param address the worker's host and port
   * @param call the call
   */
  record CallWorker(WorkerId worker, String address, WorkerCall call) implements Effect {}

  /**
   * Append a record to the log.
   *
   * @param stream the stream
   * @param recordId the unique id of the record
   * @param record the record
   */
  record Append(StreamName stream, String recordId, StreamRecord record) implements Effect {}

  /**
   * Send a message to a peer.
   *
   * @param address the host and port at which the peer receives messages
   * @param envelope the message with its sender and receiver
   */
  record SendToPeer(String address, PeerMessage.Envelope envelope) implements Effect {}

  /**
   * Record an event on the timeline.
   *
   * @param kind what happened
   * @param subject what it happened to, such as an attempt or a worker
   * @param detail the cause or further circumstances
   */
  record RecordTimelineEvent(TimelineKind kind, String subject, String detail) implements Effect {}

  /** End the process: the drain is complete and nothing is in flight. */
  record Drained() implements Effect {}
}
