package org.hyssopport.engine.worker;

import java.time.Duration;
import java.time.Instant;

/**
 * Keeps work from a worker that fails the tasks it starts.
 *
 * <p>Protects against grey failures: a worker that looks healthy but fails every task before the
 * task's run time has passed. Consecutive failures are counted, whichever jobs they belong to. Once
 * they reach a threshold, the worker gets no work for a pause that doubles with each further
 * failure; after the pause it is tried with one task at a time until a task completes.
 *
 * @since 0.2
 */
public final class WorkerCircuitBreaker {

  /** Healthy workers fail one task in twenty, so a single failure does not show a fault. */
  private static final int FAILURE_THRESHOLD = 3;

  /** About the run time of a short task. */
  private static final Duration FIRST_PAUSE = Duration.ofSeconds(2);

  private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(16);

  /** The pause after the worker could not be reached or rejected an order. */
  private static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(500);

  private int consecutiveFailures;
  private Duration pause = FIRST_PAUSE;
  private Instant pausedUntil = Instant.MIN;

  private WorkerCircuitBreaker() {}

  static WorkerCircuitBreaker create() {
    return new WorkerCircuitBreaker();
  }

  /** Records a task that completed; ends the count of consecutive failures. */
  public void recordSuccess() {
    consecutiveFailures = 0;
    pause = FIRST_PAUSE;
  }

  /** Records a task that failed; pauses the worker if too many consecutive ones have failed. */
  public void recordFailure(Instant now) {
    consecutiveFailures++;
    if (consecutiveFailures >= FAILURE_THRESHOLD) {
      pausedUntil = now.plus(pause);
      Duration doubled = pause.multipliedBy(2);
      pause = doubled.compareTo(MAXIMUM_PAUSE) > 0 ? MAXIMUM_PAUSE : doubled;
    }
  }

  /** Records that the worker could not be reached, or rejected an order as unhealthy. */
  public void recordUnreachable(Instant now) {
    Instant until = now.plus(UNREACHABLE_PAUSE);
    pausedUntil = until.isAfter(pausedUntil) ? until : pausedUntil;
  }

  /**
   * Returns whether a task may be placed on the worker.
   *
   * @param now the reading of the local monotonic clock
   * @param runsOnWorker how many runs the worker has already
   * @return whether a task may be placed
   */
  public boolean allowsWork(Instant now, int runsOnWorker) {
    if (now.isBefore(pausedUntil)) {
      return false;
    }
    return consecutiveFailures < FAILURE_THRESHOLD || runsOnWorker == 0;
  }
}
