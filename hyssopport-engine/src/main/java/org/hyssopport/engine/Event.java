package org.hyssopport.engine;

import java.util.List;
import org.hyssopport.engine.platform.AppendResult;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.engine.platform.StoredRecord;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.platform.WorkerReply;

/**
 * An input of the engine: a call, a reply, a message, a read or the passing of time.
 *
 * @since 0.1
 * @see EntryEngine
 */
public sealed interface Event {

  /** Time has passed; sent at short intervals so that due work is done. */
  record Ticked() implements Event {}

  /** The instance was told to drain: to finish its work and leave the cell. */
  record DrainRequested() implements Event {}

  /**
   * A caller sent a request.
   *
   * @param handle identifies the call that waits for its reply
   * @param request the request
   */
  record RequestReceived(long handle, ServiceRequest request) implements Event {}

  /**
   * A caller queries the outcome of a request.
   *
   * @param handle identifies the call that waits for its reply
   * @param requestId the id of the request
   */
  record RequestQueried(long handle, String requestId) implements Event {}

  /**
   * A caller asks for a ticket.
   *
   * @param handle identifies the call that waits for its reply
   */
  record TicketRequested(long handle) implements Event {}

  /**
   * A caller submits a job.
   *
   * @param handle identifies the call that waits for its reply
   * @param submission the job
   */
  record JobSubmitted(long handle, JobSubmission submission) implements Event {}

  /**
   * A caller queries the state of a job.
   *
   * @param handle identifies the call that waits for its reply
   * @param job the id of the job
   */
  record JobQueried(long handle, String job) implements Event {}

  /**
   * A caller queries the states of all jobs.
   *
   * @param handle identifies the call that waits for its reply
   */
  record JobsQueried(long handle) implements Event {}

  /**
   * A caller cancels jobs.
   *
   * @param handle identifies the call that waits for its reply
   * @param jobs the ids of the jobs
   */
  record JobCancellationRequested(long handle, List<String> jobs) implements Event {}

  /**
   * An operator publishes a configuration.
   *
   * @param handle identifies the call that waits for its reply
   * @param base the version on which the change was made
   * @param text the whole new configuration as JSON
   */
  record ConfigurationPublishRequested(long handle, long base, String text) implements Event {}

  /**
   * An operator queries the configuration in force.
   *
   * @param handle identifies the call that waits for its reply
   */
  record ConfigurationQueried(long handle) implements Event {}

  /**
   * An operator queries the state of this instance.
   *
   * @param handle identifies the call that waits for its reply
   */
  record StatusQueried(long handle) implements Event {}

  /**
   * The list of live instances was read from the platform.
   *
   * @param list the list
   */
  record LiveListRead(LiveList list) implements Event {}

  /**
   * A call to a worker ended.
   *
   * @param worker the worker
   * @param call the call
   * @param reply the reply, or {@link WorkerReply.NoUsableReply} if it is missing or unusable
   */
  record WorkerReplied(WorkerId worker, WorkerCall call, WorkerReply reply) implements Event {}

  /**
   * Records of a stream were read.
   *
   * @param stream the stream
   * @param firstRetained the offset of the oldest record that the stream still keeps
   * @param records the records in the order of their offsets
   * @param caughtUp whether the end of the stream was reached
   */
  record StreamRead(
      StreamName stream, long firstRetained, List<StoredRecord> records, boolean caughtUp)
      implements Event {}

  /**
   * An append to the log ended.
   *
   * @param stream the stream
   * @param recordIds the ids of the records
   * @param result whether the log stored the records, as far as it is known
   */
  record AppendEnded(StreamName stream, List<String> recordIds, AppendResult result)
      implements Event {}

  /**
   * A message from a peer was received.
   *
   * @param envelope the message with its sender and receiver
   */
  record PeerMessageReceived(PeerMessage.Envelope envelope) implements Event {}
}
