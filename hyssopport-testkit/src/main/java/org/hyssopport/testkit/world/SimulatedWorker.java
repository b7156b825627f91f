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
 * A worker that guards nothing but its fence, its lease and its run numbers.
 *
 * @since 0.2
 */
public final class SimulatedWorker {

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
  private long fence;
  private long lastEndNumber;
  private boolean reachable = true;
  private boolean up = true;
  private boolean draining;
  private double slowness = 1;
  private boolean failsAll;
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

  /** One run that goes on. */
  record ActiveRun(RunId ref, StepDefinition step, Instant startedAt, Optional<Instant> endsAt) {}

  /** Returns its id. */
  public WorkerId id() {
    return id;
  }

  /** Returns what it would write of itself. */
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

  boolean isUp() {
    return up;
  }

  boolean canAnswer() {
    return up && reachable;
  }

  /** Cuts it off from schedulers, or connects it again; it runs on. */
  public void setReachable(boolean nowReachable) {
    reachable = nowReachable;
  }

  /** Lets it announce that it will leave. */
  public void drain() {
    draining = true;
  }

  /** Makes its work take longer. */
  public void setSlowness(double factor) {
    slowness = factor;
  }

  /** Makes all that it starts fail within a moment. */
  public void setFailsAll(boolean fails) {
    failsAll = fails;
  }

  /** Makes all that it starts stand still. */
  public void setHangs(boolean nowHangs) {
    hangs = nowHangs;
  }

  /** Ends it with all that it runs. */
  public void crash() {
    up = false;
    workers.runChecker().discardUnacknowledged(id);
    for (ActiveRun activeRun : List.copyOf(running.values())) {
      workers.runChecker().recordEnd(activeRun.ref(), id, time.now());
    }
    running.clear();
    stopping.clear();
    waitingPolls.clear();
  }

  /** Starts it anew under the same id; it knows nothing of before. */
  public void restart() {
    up = true;
    bootedAt = time.now();
    incarnation = bootedAt.toEpochMilli();
    highestEndedRun.clear();
    endedRuns.clear();
    lastEndNumber = 0;
    fence = 0;
    leaseUntil = Instant.MIN;
  }

  /** Returns its own steady clock. */
  public long clockMillis() {
    return Duration.between(bootedAt, time.now()).toMillis();
  }

  private Instant instantOf(long clockMillis) {
    return bootedAt.plusMillis(clockMillis);
  }

  private void extendLease(long until) {
    long longest = clockMillis() + SimulatedWorkers.LONGEST_LEASE.toMillis();
    Instant newUntil = instantOf(Math.min(until, longest));
    if (newUntil.isAfter(leaseUntil)) {
      leaseUntil = newUntil;
      time.after(Duration.between(time.now(), newUntil), this::expireLease);
    }
  }

  private void expireLease() {
    if (up && !time.now().isBefore(leaseUntil)) {
      workers.runChecker().discardUnacknowledged(id);
      for (RunId ref : List.copyOf(running.keySet())) {
        endRun(ref, RunEnd.LAPSED);
      }
    }
  }

  /** Carries out an order to start a run. */
  public OrderResult start(RunId ref, StepDefinition step, long until, long orderFence) {
    if (orderFence < fence) {
      return OrderResult.FENCED;
    }
    fence = orderFence;
    if (running.containsKey(ref)) {
      extendLease(until);
      return OrderResult.DONE;
    }
    if (until <= clockMillis()) {
      return OrderResult.TOO_LATE;
    }
    extendLease(until);
    if (ref.run() <= highestEndedRun.getOrDefault(ref.task(), 0)) {
      return OrderResult.OLD_RUN;
    }
    beginRun(ref, step);
    return OrderResult.DONE;
  }

  private void beginRun(RunId ref, StepDefinition step) {
    int failures = workers.plannedFailures(ref.task());
    boolean fails = failsAll || ref.run() <= failures;
    Duration work =
        Duration.ofMillis((long) (workers.workDuration(ref.task(), step).toMillis() * slowness));
    Duration length = fails ? SimulatedWorkers.FAILURE_DELAY : work;
    Optional<Instant> endsAt = hangs ? Optional.empty() : Optional.of(time.now().plus(length));
    running.put(ref, new ActiveRun(ref, step, time.now(), endsAt));
    workers.runChecker().recordStart(ref, step, id, capacity, time.now());
    if (step.gang()) {
      workers.onGangMemberStarted(ref, step, fails ? RunEnd.FAILED : RunEnd.DONE, length);
      time.after(SimulatedWorkers.GANG_WINDOW, () -> endIfAlone(ref, step));
    } else if (!hangs) {
      time.after(length, () -> endRun(ref, fails ? RunEnd.FAILED : RunEnd.DONE));
    }
  }

  private void endIfAlone(RunId ref, StepDefinition step) {
    if (running.containsKey(ref) && !workers.isGangComplete(ref, step)) {
      endRun(ref, RunEnd.ALONE);
    }
  }

  boolean isRunning(RunId ref) {
    return running.containsKey(ref);
  }

  void endRun(RunId ref, RunEnd runEnd) {
    ActiveRun endedRun = running.remove(ref);
    if (endedRun == null) {
      return;
    }
    stopping.remove(ref);
    highestEndedRun.merge(ref.task(), ref.run(), Math::max);
    lastEndNumber++;
    endedRuns.add(new WorkerRunReport.EndedRun(lastEndNumber, ref, runEnd, ""));
    workers.runChecker().recordEnd(ref, id, time.now());
    if (runEnd == RunEnd.DONE) {
      workers.runChecker().recordDone(ref, id, endedRun.step().gang());
    }
    if (endedRun.step().gang()) {
      workers.onGangMemberEnded(ref, runEnd);
    }
    List<Runnable> waiting = List.copyOf(waitingPolls);
    waitingPolls.clear();
    waiting.forEach(Runnable::run);
  }

  /** Carries out an order to stop a run. */
  public OrderResult stop(RunId ref, long orderFence) {
    if (orderFence < fence) {
      return OrderResult.FENCED;
    }
    fence = orderFence;
    if (running.containsKey(ref)) {
      stopping.add(ref);
      time.after(SimulatedWorkers.STOP_DELAY, () -> endRun(ref, RunEnd.STOPPED));
    } else {
      highestEndedRun.merge(ref.task(), ref.run(), Math::max);
    }
    return OrderResult.DONE;
  }

  /** Takes a look; the answer waits for an end if there is none to list. */
  public void poll(
      Optional<Long> until,
      long acknowledged,
      int waitMillis,
      long orderFence,
      Consumer<PollResult> answer) {
    if (orderFence < fence) {
      answer.accept(new PollResult.Fenced());
      return;
    }
    fence = orderFence;
    until.ifPresent(this::extendLease);
    for (WorkerRunReport.EndedRun endedRun : List.copyOf(endedRuns)) {
      if (endedRun.number() <= acknowledged) {
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
    running.keySet().forEach(ref -> runs.add(new WorkerRunReport.RunningRun(ref, "")));
    return new PollResult.Reported(
        new WorkerRunReport(incarnation, clockMillis(), runs, List.copyOf(endedRuns)));
  }
}
