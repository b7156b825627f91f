package org.hyssopport.engine.worker;

import java.time.Duration;
import java.time.Instant;

/**
 * Keeps work from a worker that fails what it starts.
 *
 * <p>Answers grey workers: they look healthy and fail every task within its run time. After a few
 * failures in a row across different jobs the worker is left alone for a while that doubles, and is
 * then tried again with one task at a time.
 *
 * @since 0.2
 */
public final class WorkerCircuitBreaker {

  /** Failures in a row before work is kept away; sound workers fail one task in twenty. */
  private static final int FAILURE_THRESHOLD = 3;

  /** The first time that work is kept away; a task of the short kind takes about as long. */
  private static final Duration FIRST_PAUSE = Duration.ofSeconds(2);

  /** The longest time that work is kept away. */
  private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(16);

  /** How long a worker gets no work after it could not be reached. */
  private static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(500);

  private int consecutiveFailures;
  private Duration pause = FIRST_PAUSE;
  private Instant pausedUntil = Instant.MIN;

  private WorkerCircuitBreaker() {}

  static WorkerCircuitBreaker create() {
    return new WorkerCircuitBreaker();
  }

  /** Notes a task that was done. */
  public void recordSuccess() {
    consecutiveFailures = 0;
    pause = FIRST_PAUSE;
  }

  /** Notes a task that failed or a start that was refused as unhealthy. */
  public void recordFailure(Instant now) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURE_THRESHOLD) {
      pausedUntil = now.plus(pause);
      Duration doubled = pause.multipliedBy(2);
      pause = doubled.compareTo(MAXIMUM_PAUSE) > 0 ? MAXIMUM_PAUSE : doubled;
    }
  }

  /** Notes that the worker could not be reached, or turned an order away. */
  public void recordUnreachable(Instant now) {
    Instant until = now.plus(UNREACHABLE_PAUSE);
    pausedUntil = until.isAfter(pausedUntil) ? until : pausedUntil;
  }

  /** Tells whether work may be placed, given how many runs the worker has already. */
  public boolean allowsWork(Instant now, int runsOnWorker) {
    if (now.isBefore(pausedUntil)) {
      return false;
    }
    return consecutiveFailures < FAILURE_THRESHOLD || runsOnWorker == 0;
  }
}
