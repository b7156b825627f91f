package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * A call to a worker.
 *
 * <p>Every call of the lease's holder that changes something on the worker carries the token of the
 * lease. The worker refuses the call if the token is not the current one.
 *
 * @since 0.1
 * @see WorkerReply
 */
public sealed interface WorkerCall {

  /**
   * Acquires the worker's lease.
   *
   * @param holder the entry instance that acquires the lease
   * @param deadline when the lease expires unless renewed
   */
  record AcquireLease(EntryId holder, Instant deadline) implements WorkerCall {}

  /**
   * Renews the lease.
   *
   * @param token the lease's token
   * @param deadline the new time at which the lease expires
   * @param digest the digest of the kept attempts that run according to the holder
   * @param extensions new horizons of running attempts
   */
  record RenewLease(long token, Instant deadline, long digest, List<Extension> extensions)
      implements WorkerCall {}

  /**
   * Extends the horizon of one attempt.
   *
   * @param attempt the attempt
   * @param horizon when the worker stops the attempt unless extended again
   */
  record Extension(AttemptId attempt, Instant horizon) {}

  /**
   * Releases the lease. Running attempts continue.
   *
   * @param token the lease's token
   */
  record ReleaseLease(long token) implements WorkerCall {}

  /**
   * Starts an attempt. The worker starts it only once, even if the call arrives repeatedly.
   *
   * @param token the lease's token
   * @param attempt the attempt
   * @param resources the resources that the attempt holds while it runs
   * @param notAfter the worker refuses the start after this time
   * @param horizon the worker stops the attempt at this time unless it was extended
   * @param kept true for a task that outlives the call, false for a request whose caller waits
   * @param payload the payload that the worker runs
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
   * Stops an attempt. An attempt that the worker has not seen is fenced: it will not be started
   * later.
   *
   * @param token the lease's token
   * @param attempt the attempt
   * @param checkpoint whether the attempt saves a checkpoint first
   */
  record StopTask(long token, AttemptId attempt, boolean checkpoint) implements WorkerCall {}

  /** Reads the report of the worker's tasks. */
  record ReadReport() implements WorkerCall {}

  /**
   * Reads the state of one attempt.
   *
   * @param attempt the attempt
   */
  record ReadTask(AttemptId attempt) implements WorkerCall {}

  /** Returns the attempt that the call starts, stops or reads, or empty for other calls. */
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
