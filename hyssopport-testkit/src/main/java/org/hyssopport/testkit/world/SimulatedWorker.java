package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.OrderResult;
import org.hyssopport.engine.scheduler.PollResult;
import org.hyssopport.engine.worker.RunEnd;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.engine.worker.WorkerRunReport;
import org.hyssopport.policy.Resources;

/**
 * A simulated worker.
 *
 * <p>It rejects orders of an older term, starts whose lease has already expired or whose ticket is
 * not valid, and runs whose number is not higher than that of a run of the same task that has
 * ended. It checks neither its capacity nor what other workers run; that is left to {@link
 * RunChecker}.
 *
 * @since 0.2
 */
public final class SimulatedWorker {

  private static final int MAXIMUM_ENDS_IN_REPORT = 500;

  private final VirtualTime time;
  private final SimulatedWorkers workers;
  private final WorkerId id;
  private final FailureDomain domain;
  private final String rack;
  private final Resources capacity;
  private final Map<RunId, ActiveRun> running = new LinkedHashMap<>();
  private final Map<TaskId, Integer> highestEndedRun = new HashMap<>();
  private final List<WorkerRunReport.EndedRun> endedRuns = new ArrayList<>();
  private final Set<RunId> stopping = new HashSet<>();
  private final List<Runnable> waitingPolls = new ArrayList<>();
  private long incarnation;
  private Instant bootedAt;
  private Instant leaseUntil = Instant.MIN;
  private long newestTerm;
  private long lastEndNumber;
  private Duration entryDelay = Duration.ZERO;
  private Optional<OutdatedEntry> outdatedEntry = Optional.empty();
  private boolean reachable = true;
  private boolean up = true;
  private boolean draining;
  private double slowness = 1;
  private boolean failsEverything;
  private boolean hangs;

  SimulatedWorker(
      VirtualTime time,
      SimulatedWorkers workers,
      WorkerId id,
      FailureDomain domain,
      String rack,
      Resources capacity) {
    this.time = time;
    this.workers = workers;
    this.id = id;
    this.domain = domain;
    this.rack = rack;
    this.capacity = capacity;
    this.bootedAt = time.now();
    this.incarnation = bootedAt.toEpochMilli();
  }

  /** A run in progress; {@code endsAt} is empty if the run hangs. */
  record ActiveRun(RunId runId, StepDefinition step, Instant startedAt, Optional<Instant> endsAt) {}

  /** What the live list shows of the worker until an instant, although it is no longer true. */
  private record OutdatedEntry(WorkerDescription description, Instant until) {}

  /** Returns the worker's id. */
  public WorkerId id() {
    return id;
  }

  /** Returns the description that the worker publishes of itself. */
  public WorkerDescription describe() {
    return new WorkerDescription(
        id,
        incarnation,
        id.name(),
        SimulatedWorkers.SERVICE,
        domain,
        capacity,
        Set.of("a", rack),
        rack,
        draining);
  }

  /** Returns the worker's entry in the live list, if it has one. */
  Optional<WorkerDescription> listedEntry() {
    Optional<WorkerDescription> outdated =
        outdatedEntry
            .filter(entry -> time.now().isBefore(entry.until()))
            .map(OutdatedEntry::description);
    return outdated.isPresent() ? outdated : Optional.of(describe()).filter(entry -> up);
  }

  /** Sets for how long after a crash or restart the live list shows the worker as it was before. */
  public void setEntryDelay(Duration delay) {
    entryDelay = delay;
  }

  private void keepEntry(WorkerDescription description) {
    if (!entryDelay.isZero()) {
      outdatedEntry = Optional.of(new OutdatedEntry(description, time.now().plus(entryDelay)));
    }
  }

  boolean isUp() {
    return up;
  }

  boolean canAnswer() {
    return up && reachable;
  }

  /** Cuts the worker off from schedulers, or reconnects it; its runs continue meanwhile. */
  public void setReachable(boolean nowReachable) {
    reachable = nowReachable;
  }

  /** Makes the worker report in its description that it is leaving. */
  public void drain() {
    draining = true;
  }

  /** Sets a factor by which runs that start from now on take longer. */
  public void setSlowness(double factor) {
    slowness = factor;
  }

  /** Sets whether runs that start from now on fail after a short delay. */
  public void setFailsEverything(boolean fails) {
    failsEverything = fails;
  }

  /**
   * Sets whether runs that start from now on hang instead of ending. Runs of a gang still end with
   * their gang.
   */
  public void setHangs(boolean nowHangs) {
    hangs = nowHangs;
  }

  /** Ends the worker and all of its runs without reporting their ends. */
  public void crash() {
    listedEntry().ifPresent(this::keepEntry);
    up = false;
    workers.runChecker().discardUnacknowledged(id);
    for (ActiveRun activeRun : List.copyOf(running.values())) {
      workers.runChecker().recordEnd(activeRun.runId(), id, time.now());
    }
    running.clear();
    stopping.clear();
    waitingPolls.clear();
  }

  /** Restarts the worker under the same id with a new incarnation and no memory of earlier runs. */
  public void restart() {
    listedEntry().ifPresent(this::keepEntry);
    up = true;
    bootedAt = time.now();
    incarnation = bootedAt.toEpochMilli();
    highestEndedRun.clear();
    endedRuns.clear();
    lastEndNumber = 0;
    newestTerm = 0;
    leaseUntil = Instant.MIN;
  }

  /** Returns the worker's own monotonic clock, in milliseconds since its last start. */
  public long clockMillis() {
    return Duration.between(bootedAt, time.now()).toMillis();
  }

  private Instant instantOf(long clockMillis) {
    return bootedAt.plusMillis(clockMillis);
  }

  private void extendLease(long untilMillis) {
    long longestMillis = clockMillis() + SimulatedWorkers.LONGEST_LEASE.toMillis();
    Instant newUntil = instantOf(Math.min(untilMillis, longestMillis));
    if (newUntil.isAfter(leaseUntil)) {
      leaseUntil = newUntil;
      time.after(Duration.between(time.now(), newUntil), this::expireLease);
    }
  }

  private void expireLease() {
    if (up && !time.now().isBefore(leaseUntil)) {
      workers.runChecker().discardUnacknowledged(id);
      for (RunId runId : List.copyOf(running.keySet())) {
        endRun(runId, RunEnd.LAPSED);
      }
    }
  }

  /**
   * Carries out an order to start a run.
   *
   * @param runId the run
   * @param step the step that the run's task belongs to
   * @param leaseUntilMillis the end of the lease by the worker's clock, in milliseconds
   * @param orderTerm the term of the scheduler that sent the order
   * @param ticket the ticket that the order carries
   * @return the result that the worker answers
   */
  public OrderResult start(
      RunId runId,
      StepDefinition step,
      long leaseUntilMillis,
      long orderTerm,
      Optional<String> ticket) {
    if (orderTerm < newestTerm) {
      return OrderResult.FENCED;
    }
    newestTerm = orderTerm;
    if (running.containsKey(runId)) {
      extendLease(leaseUntilMillis);
      return OrderResult.DONE;
    }
    if (leaseUntilMillis <= clockMillis()) {
      return OrderResult.TOO_LATE;
    }
    if (workers.tickets().check(runId.task().step(), id, incarnation, ticket).isPresent()) {
      // A start that is refused for its ticket does not extend the lease.
      return OrderResult.NO_TICKET;
    }
    extendLease(leaseUntilMillis);
    if (runId.number() <= highestEndedRun.getOrDefault(runId.task(), 0)) {
      return OrderResult.OLD_RUN;
    }
    beginRun(runId, step);
    return OrderResult.DONE;
  }

  private void beginRun(RunId runId, StepDefinition step) {
    int failures = workers.plannedFailures(runId.task());
    boolean fails = failsEverything || runId.number() <= failures;
    Duration work =
        Duration.ofMillis((long) (workers.workDuration(runId.task(), step).toMillis() * slowness));
    Duration duration = fails ? SimulatedWorkers.FAILURE_DELAY : work;
    boolean endless = hangs || (step.lasting() && !fails);
    Optional<Instant> endsAt = endless ? Optional.empty() : Optional.of(time.now().plus(duration));
    running.put(runId, new ActiveRun(runId, step, time.now(), endsAt));
    workers.runChecker().recordStart(runId, step, id, capacity, time.now());
    if (step.gang()) {
      workers.onGangMemberStarted(runId, step, fails ? RunEnd.FAILED : RunEnd.DONE, duration);
      time.after(SimulatedWorkers.GANG_WINDOW, () -> endIfAlone(runId, step));
    } else if (!endless) {
      time.after(duration, () -> endRun(runId, fails ? RunEnd.FAILED : RunEnd.DONE));
    }
  }

  /** Ends a run of a gang that is not complete within the gang window after the run's start. */
  private void endIfAlone(RunId runId, StepDefinition step) {
    if (running.containsKey(runId) && !workers.isGangComplete(runId, step)) {
      endRun(runId, RunEnd.ALONE);
    }
  }

  boolean isRunning(RunId runId) {
    return running.containsKey(runId);
  }

  void endRun(RunId runId, RunEnd runEnd) {
    ActiveRun endedRun = running.remove(runId);
    if (endedRun == null) {
      return;
    }
    stopping.remove(runId);
    highestEndedRun.merge(runId.task(), runId.number(), Math::max);
    lastEndNumber++;
    endedRuns.add(new WorkerRunReport.EndedRun(lastEndNumber, runId, runEnd, ""));
    workers.runChecker().recordEnd(runId, id, time.now());
    if (runEnd == RunEnd.DONE) {
      workers.runChecker().recordDone(runId, id, endedRun.step().gang());
    }
    if (runEnd == RunEnd.FAILED) {
      workers.runChecker().recordFailure(runId, id, endedRun.step().gang());
    }
    if (endedRun.step().gang()) {
      workers.onGangMemberEnded(runId, runEnd);
    }
    List<Runnable> waiting = List.copyOf(waitingPolls);
    waitingPolls.clear();
    waiting.forEach(Runnable::run);
  }

  /**
   * Carries out an order to stop a run. If the run is not running here, later orders to start it
   * are rejected until the worker restarts.
   *
   * @param runId the run
   * @param orderTerm the term of the scheduler that sent the order
   * @return the result that the worker answers
   */
  public OrderResult stop(RunId runId, long orderTerm) {
    if (orderTerm < newestTerm) {
      return OrderResult.FENCED;
    }
    newestTerm = orderTerm;
    if (running.containsKey(runId)) {
      stopping.add(runId);
      time.after(SimulatedWorkers.STOP_DELAY, () -> endRun(runId, RunEnd.STOPPED));
    } else {
      highestEndedRun.merge(runId.task(), runId.number(), Math::max);
    }
    return OrderResult.DONE;
  }

  /**
   * Answers a poll with a report of the worker's runs. If there is no ended run to report, the
   * answer waits for the next end, at most {@code waitMillis}.
   *
   * @param leaseUntilMillis the new end of the lease by the worker's clock, in milliseconds, if the
   *     lease is to be extended
   * @param acknowledgedUpTo the number of the last ended run that the scheduler has recorded
   * @param waitMillis how long the answer may wait for an end, in milliseconds; 0 for no wait
   * @param orderTerm the term of the scheduler that polls
   * @param answer receives the result
   */
  public void poll(
      Optional<Long> leaseUntilMillis,
      long acknowledgedUpTo,
      int waitMillis,
      long orderTerm,
      Consumer<PollResult> answer) {
    if (orderTerm < newestTerm) {
      answer.accept(new PollResult.Fenced());
      return;
    }
    newestTerm = orderTerm;
    leaseUntilMillis.ifPresent(this::extendLease);
    for (WorkerRunReport.EndedRun endedRun : List.copyOf(endedRuns)) {
      if (endedRun.endNumber() <= acknowledgedUpTo) {
        workers.runChecker().recordAcknowledgement(endedRun.run());
        endedRuns.remove(endedRun);
      }
    }
    if (waitMillis == 0 || !endedRuns.isEmpty()) {
      answer.accept(report());
      return;
    }
    boolean[] answered = {false};
    Runnable answerOnce =
        () -> {
          if (!answered[0] && up) {
            answered[0] = true;
            answer.accept(report());
          }
        };
    waitingPolls.add(answerOnce);
    time.afterMillis(waitMillis, answerOnce);
  }

  private PollResult report() {
    List<WorkerRunReport.RunningRun> runs = new ArrayList<>();
    running.keySet().forEach(runId -> runs.add(new WorkerRunReport.RunningRun(runId, "")));
    return new PollResult.Reported(
        new WorkerRunReport(
            incarnation,
            clockMillis(),
            runs,
            List.copyOf(endedRuns.subList(0, Math.min(endedRuns.size(), MAXIMUM_ENDS_IN_REPORT))),
            endedRuns.size() >= MAXIMUM_ENDS_IN_REPORT));
  }
}
