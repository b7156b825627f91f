package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * A call to a worker.
 *
 * <p>Every call that takes effect carries the lease token, and the worker refuses an old one.
 *
 * @since 0.1
 * @see WorkerReply
 */
public sealed interface WorkerCall {

  /**
   * Asks for the worker's lease.
   *
   * @param holder who asks
   * @param deadline until when the lease shall last
   */
  record AcquireLease(EntryId holder, Instant deadline) implements WorkerCall {}

  /**
   * Renews the lease.
   *
   * @param token the lease's token
   * @param deadline the new deadline
   * @param digest the digest of the kept attempts that the holder believes to run
   * @param extensions new horizons of running attempts
   */
  record RenewLease(long token, Instant deadline, long digest, List<Extension> extensions)
      implements WorkerCall {}

  /**
   * Moves the horizon of one attempt.
   *
   * @param attempt the attempt
   * @param horizon when the worker stops it unless moved again
   */
  record Extension(AttemptId attempt, Instant horizon) {}

  /**
   * Gives the lease back; running work goes on.
   *
   * @param token the lease's token
   */
  record ReleaseLease(long token) implements WorkerCall {}

  /**
   * Starts an attempt once, however often the call arrives.
   *
   * @param token the lease's token
   * @param attempt the attempt
   * @param resources what it holds
   * @param notAfter the worker refuses the start after this moment
   * @param horizon the worker stops the attempt at this moment
   * @param kept true for a task that outlives the call, false for a request whose caller waits
   * @param payload what to run
   */
  record StartTask(
      long token,
      AttemptId attempt,
      Resources resources,
      Instant notAfter,
      Instant horizon,
      boolean kept,
      String payload)
      implements WorkerCall {}

  /**
   * Stops an attempt, or fences it if it was never seen.
   *
   * @param token the lease's token
   * @param attempt the attempt
   * @param checkpoint whether to save a checkpoint first
   */
  record StopTask(long token, AttemptId attempt, boolean checkpoint) implements WorkerCall {}

  /** Reads the worker's report. */
  record ReadReport() implements WorkerCall {}

  /**
   * Reads the state of one attempt.
   *
   * @param attempt the attempt
   */
  record ReadTask(AttemptId attempt) implements WorkerCall {}

  /** Returns the attempt that the call is about, if any. */
  default Optional<AttemptId> targetAttempt() {
    if (this instanceof StartTask start) {
      return Optional.of(start.attempt());
    }
    if (this instanceof StopTask stop) {
      return Optional.of(stop.attempt());
    }
    if (this instanceof ReadTask read) {
      return Optional.of(read.attempt());
    }
    return Optional.empty();
  }
}
