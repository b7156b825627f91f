package org.hyssopport.engine.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.job.StepId;

/**
 * Keeps work from a worker that fails the tasks it starts.
 *
 * <p>Protects against grey failures: a worker that looks healthy but fails every task before the
 * task's run time has passed. Once the failures since the last completed task reach a threshold,
 * the circuit opens: the worker gets no work for a pause. After the pause it gets trial runs, one
 * at a time, whatever else it runs; a trial that neither ends nor fails within {@link #TRIAL_TIME}
 * does not hold up the next one. A completed task closes the circuit, and a failure after the pause
 * begins a pause twice as long. A longer pause than the first one spares the tasks that other
 * workers can take; those that none can take are tried sooner. Failures that turn out to be the
 * fault of their step are withdrawn.
 *
 * @since 0.2
 */
public final class WorkerCircuitBreaker {

  /** Healthy workers fail one task in twenty, so a single failure does not show a fault. */
  private static final int FAILURE_THRESHOLD = 3;

  /** About the run time of a short task. */
  private static final Duration FIRST_PAUSE = Duration.ofSeconds(2);

  private static final Duration MAXIMUM_PAUSE = Duration.ofSeconds(16);

  /** The time after which a trial run no longer holds up the next one. */
  static final Duration TRIAL_TIME = Duration.ofSeconds(2);

  /** The failures since the last completed task, by step. */
  private final Map<StepId, Integer> failuresByStep = new HashMap<>();

  private int failures;
  private Instant lastFailureAt = Instant.MIN;
  private Duration pause = FIRST_PAUSE;
  private Instant pausedUntil = Instant.MIN;
  private Instant firstPauseUntil = Instant.MIN;
  private Optional<RunId> lastTrial = Optional.empty();
  private Instant nextTrialAt = Instant.MIN;

  private WorkerCircuitBreaker() {}

  static WorkerCircuitBreaker create() {
    return new WorkerCircuitBreaker();
  }

  /** Records a task that completed; closes the circuit. */
  public void recordSuccess() {
    failuresByStep.clear();
    close();
  }

  /**
   * Records that a task without an end has worked for some time. This closes the circuit like a
   * completed task, unless a run has failed since the task was started.
   *
   * @param startedAt when the run was started, by the local monotonic clock
   */
  public void recordSteadyRun(Instant startedAt) {
    if (startedAt.isAfter(lastFailureAt)) {
      recordSuccess();
    }
  }

  /**
   * Records a failed run; opens the circuit if too many have failed since the last completed task.
   *
   * @param run the run
   * @param now the reading of the local monotonic clock
   * @return the end of the pause, if the failure began one
   */
  public Optional<Instant> recordFailure(RunId run, Instant now) {
    failuresByStep.merge(run.task().step(), 1, Integer::sum);
    failures++;
    lastFailureAt = now;
    boolean trialFailed = lastTrial.filter(run::equals).isPresent();
    if (!isOpen() || (now.isBefore(pausedUntil) && !trialFailed)) {
      return Optional.empty();
    }
    pausedUntil = now.plus(pause);
    firstPauseUntil = now.plus(FIRST_PAUSE);
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(MAXIMUM_PAUSE) > 0 ? MAXIMUM_PAUSE : doubled;
    return Optional.of(pausedUntil);
  }

  /**
   * Removes the failures of a step from the count, since they are not the worker's fault; closes
   * the circuit unless the others suffice to keep it open.
   *
   * @param step the step
   */
  public void withdrawFailures(StepId step) {
    Integer withdrawn = failuresByStep.remove(step);
    if (withdrawn == null) {
      return;
    }
    boolean wasOpen = isOpen();
    failures -= withdrawn;
    if (wasOpen && !isOpen()) {
      int remaining = failures;
      close();
      failures = remaining;
      pausedUntil = Instant.MIN;
      firstPauseUntil = Instant.MIN;
    }
  }

  private void close() {
    failures = 0;
    pause = FIRST_PAUSE;
    lastTrial = Optional.empty();
    nextTrialAt = Instant.MIN;
  }

  /** Records that a run is placed on the worker; it is a trial if the circuit is open. */
  public void recordPlacement(RunId run, Instant now) {
    if (isOpen()) {
      lastTrial = Optional.of(run);
      nextTrialAt = now.plus(TRIAL_TIME);
    }
  }

  /** Records that a run has left the worker, for whatever reason. */
  void recordRunOver(RunId run) {
    if (lastTrial.filter(run::equals).isPresent()) {
      nextTrialAt = Instant.MIN;
    }
  }

  /** Returns whether the circuit is open, so that the worker gets at most one run at a time. */
  public boolean isOpen() {
    return failures >= FAILURE_THRESHOLD;
  }

  /**
   * Returns how many tasks may be placed on the worker now.
   *
   * @param now the reading of the local monotonic clock
   * @param starved whether no other worker has taken a task of the step for some time
   * @return {@link Integer#MAX_VALUE} if the circuit does not limit them
   */
  public int permittedTasks(Instant now, boolean starved) {
    if (now.isBefore(starved ? firstPauseUntil : pausedUntil)) {
      return 0;
    }
    if (!isOpen()) {
      return Integer.MAX_VALUE;
    }
    return now.isBefore(nextTrialAt) ? 0 : 1;
  }
}
