package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * A worker's reply to a call, or what is known when there was none.
 *
 * @since 0.1
 * @see WorkerCall
 */
public sealed interface WorkerReply {

  /**
   * The lease was granted.
   *
   * @param token grows with every grant to a new holder
   * @param deadline when it lapses
   * @param instant the worker's clock at the grant
   * @param bootId the worker's boot
   */
  record LeaseGranted(long token, Instant deadline, Instant instant, String bootId)
      implements WorkerReply {}

  /**
   * Another holder has the lease.
   *
   * @param holder the other holder
   * @param deadline when its lease lapses unless renewed
   */
  record LeaseHeld(EntryId holder, Instant deadline) implements WorkerReply {}

  /**
   * The lease was renewed.
   *
   * @param deadline the new deadline
   * @param instant the worker's clock
   * @param leaving whether the worker is leaving
   * @param tasks the kept attempts, only if the digest differed
   */
  record LeaseRenewed(
      Instant deadline, Instant instant, boolean leaving, Optional<List<AttemptView>> tasks)
      implements WorkerReply {}

  /** The lease was given back. */
  record LeaseReleased() implements WorkerReply {}

  /**
   * The worker refused the call, so it took no effect.
   *
   * @param cause why
   */
  record Refused(Refusal cause) implements WorkerReply {}

  /** Why a worker refuses a call. */
  enum Refusal {
    /** The token is not the lease's current one. */
    OLD_TOKEN,
    /** The start came after its latest moment. */
    TOO_LATE,
    /** The attempt was fenced before. */
    FENCED,
    /** The call could not be understood. */
    INVALID
  }

  /**
   * The worker's report.
   *
   * @param report the report
   */
  record ReportRead(WorkerTaskReport report) implements WorkerReply {}

  /**
   * The state of one attempt.
   *
   * @param instant the worker's clock
   * @param bootId the worker's boot
   * @param view the state
   */
  record AttemptState(Instant instant, String bootId, AttemptView view) implements WorkerReply {}

  /**
   * There was no usable reply.
   *
   * @param mayHaveTakenEffect false only if the call surely never reached the worker
   */
  record NoUsableReply(boolean mayHaveTakenEffect) implements WorkerReply {}
}
