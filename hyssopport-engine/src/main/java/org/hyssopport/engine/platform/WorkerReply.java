package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A worker's reply to a call, or what the caller knows if there was no usable reply.
 *
 * @since 0.1
 * @see WorkerCall
 */
public sealed interface WorkerReply {

  /**
   * The lease was granted.
   *
   * @param token the token of the lease, which grows with every grant to a new holder
   * @param deadline when the lease expires unless renewed
   * @param instant the time of the grant, by the worker's clock
   * @param bootId the id of the worker's boot, different after every start
   */
  record LeaseGranted(long token, Instant deadline, Instant instant, String bootId)
      implements WorkerReply {}

  /**
   * The lease was not granted because another holder has it.
   *
   * @param holder the other holder
   * @param deadline when its lease expires unless renewed
   */
  record LeaseHeld(EntryId holder, Instant deadline) implements WorkerReply {}

  /**
   * The lease was renewed.
   *
   * @param deadline the new time at which the lease expires
   * @param instant the time of the reply, by the worker's clock
   * @param leaving whether the worker is leaving
   * @param tasks the worker's kept attempts; empty if its digest was that of the call
   */
  record LeaseRenewed(
      Instant deadline, Instant instant, boolean leaving, Optional<List<AttemptView>> tasks)
      implements WorkerReply {}

  /** The lease was released. */
  record LeaseReleased() implements WorkerReply {}

  /**
   * The worker refused the call, which therefore had no effect.
   *
   * @param cause why the call was refused
   */
  record Refused(Refusal cause) implements WorkerReply {}

  /** The reasons for which a worker refuses a call. */
  enum Refusal {
    /** The token is not the current one of the lease. */
    OLD_TOKEN,
    /** The call to start the attempt arrived after {@link WorkerCall.StartTask#notAfter()}. */
    TOO_LATE,
    /** The attempt was fenced by an earlier call. */
    FENCED,
    /** The call is malformed. */
    INVALID
  }

  /**
   * The report of the worker's tasks.
   *
   * @param report the report
   */
  record ReportRead(WorkerTaskReport report) implements WorkerReply {}

  /**
   * The state of one attempt.
   *
   * @param instant the time of the reply, by the worker's clock
   * @param bootId the id of the worker's boot, different after every start
   * @param view the state of the attempt
   */
  record AttemptState(Instant instant, String bootId, AttemptView view) implements WorkerReply {}

  /**
   * There was no usable reply.
   *
   * @param mayHaveTakenEffect false only if the call certainly did not reach the worker
   */
  record NoUsableReply(boolean mayHaveTakenEffect) implements WorkerReply {}
}
