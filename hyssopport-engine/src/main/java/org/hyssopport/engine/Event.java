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
 * Something that happened to an entry instance.
 *
 * @since 0.1
 * @see EntryEngine
 */
public sealed interface Event {

  /** Time passed. */
  record Ticked() implements Event {}

  /** The instance was told to leave. */
  record DrainRequested() implements Event {}

  /**
   * A caller sent a request.
   *
   * @param handle names the waiting caller
   * @param request the request
   */
  record RequestReceived(long handle, ServiceRequest request) implements Event {}

  /**
   * A caller asks for the outcome of a request.
   *
   * @param handle names the waiting caller
   * @param requestId the request
   */
  record RequestQueried(long handle, String requestId) implements Event {}

  /**
   * A caller asks for a ticket.
   *
   * @param handle names the waiting caller
   */
  record TicketRequested(long handle) implements Event {}

  /**
   * A caller submits a job.
   *
   * @param handle names the waiting caller
   * @param submission the job
   */
  record JobSubmitted(long handle, JobSubmission submission) implements Event {}

  /**
   * A caller asks for a job.
   *
   * @param handle names the waiting caller
   * @param job the job's id
   */
  record JobQueried(long handle, String job) implements Event {}

  /**
   * A caller asks for all jobs.
   *
   * @param handle names the waiting caller
   */
  record JobsQueried(long handle) implements Event {}

  /**
   * A caller cancels jobs.
   *
   * @param handle names the waiting caller
   * @param jobs the jobs' ids
   */
  record JobCancellationRequested(long handle, List<String> jobs) implements Event {}

  /**
   * An operator publishes a configuration.
   *
   * @param handle names the waiting operator
   * @param base the version that the change was made on
   * @param text the printed configuration
   */
  record ConfigurationPublishRequested(long handle, long base, String text) implements Event {}

  /**
   * An operator asks for the configuration in force.
   *
   * @param handle names the waiting operator
   */
  record ConfigurationQueried(long handle) implements Event {}

  /**
   * An operator asks for this instance's state.
   *
   * @param handle names the waiting operator
   */
  record StatusQueried(long handle) implements Event {}

  /**
   * The live list was read.
   *
   * @param list the list
   */
  record LiveListRead(LiveList list) implements Event {}

  /**
   * A call to a worker came to an end.
   *
   * @param worker the worker
   * @param call the call
   * @param reply the reply
   */
  record WorkerReplied(WorkerId worker, WorkerCall call, WorkerReply reply) implements Event {}

  /**
   * Records of a stream were read.
   *
   * @param stream the stream
   * @param firstRetained the first offset that the stream still keeps
   * @param records the records in order
   * @param caughtUp whether nothing more was there
   */
  record StreamRead(
      StreamName stream, long firstRetained, List<StoredRecord> records, boolean caughtUp)
      implements Event {}

  /**
   * An append came to an end.
   *
   * @param stream the stream
   * @param recordIds the records' ids
   * @param result what is known
   */
  record AppendEnded(StreamName stream, List<String> recordIds, AppendResult result)
      implements Event {}

  /**
   * A peer's message arrived.
   *
   * @param envelope the message
   */
  record PeerMessageReceived(PeerMessage.Envelope envelope) implements Event {}
}
