package org.hyssopport.testkit.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptDigest;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.AttemptPhase;
import org.hyssopport.engine.platform.AttemptResult;
import org.hyssopport.engine.platform.AttemptView;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.platform.WorkerReply.Refusal;
import org.hyssopport.engine.platform.WorkerTaskReport;
import org.hyssopport.policy.Resources;

/**
 * Model of a stand-in worker: one lease, and tasks whose payloads prescribe their run times.
 *
 * <p>The worker refuses outdated lease tokens and late starts. It never refuses a task for lack of
 * capacity, because the lease holder must keep within the capacity.
 *
 * <p>Methods are given the true time. The worker's own clock differs from it by a settable offset.
 *
 * @since 0.1
 */
public final class WorkerModel {

  private static final Duration RECORD_RETENTION = Duration.ofMinutes(10);

  private final String name;
  private final Map<AttemptId, AttemptRun> runs = new LinkedHashMap<>();
  private final List<RunRecord> removedRunRecords = new ArrayList<>();
  private String bootId;
  private int bootCount = 1;
  private long token;
  private Optional<EntryId> holder = Optional.empty();
  private Instant leaseDeadline = Instant.EPOCH;
  private Duration clockOffset = Duration.ZERO;
  private boolean leaving;
  private boolean failsEverything;
  private Resources inUse = Resources.NONE;
  private int runningCount;
  private Resources peakInUse = Resources.NONE;
  private int peakRunning;

  private WorkerModel(String name) {
    this.name = name;
    this.bootId = name + "-boot-1";
  }

  /** Returns an idle worker. */
  public static WorkerModel create(String name) {
    return new WorkerModel(name);
  }

  /** Sets the difference between the worker's clock and true time. */
  public synchronized void setClockOffset(Duration offset) {
    clockOffset = offset;
  }

  /** Sets whether the worker reports that it is leaving. */
  public synchronized void setLeaving(boolean newLeaving) {
    leaving = newLeaving;
  }

  /** Sets whether every task that is started from now on fails at once. */
  public synchronized void setFailsEverything(boolean fails) {
    failsEverything = fails;
  }

  /**
   * Restarts the worker under a new boot id. Its lease and all running tasks are lost.
   *
   * @param now the present true time
   */
  public synchronized void reboot(Instant now) {
    advance(now);
    bootCount++;
    bootId = name + "-boot-" + bootCount;
    runs.values().forEach(run -> run.endIfRunning(now, AttemptResult.LAPSED));
    runs.values().stream()
        .filter(run -> !run.fenced)
        .map(AttemptRun::toRunRecord)
        .forEach(removedRunRecords::add);
    runs.clear();
    inUse = Resources.NONE;
    runningCount = 0;
    holder = Optional.empty();
    leaseDeadline = Instant.EPOCH;
  }

  /**
   * Handles a call.
   *
   * @param call the call
   * @param now the present true time, from which the worker's clock may differ
   * @return the reply to the call
   */
  public synchronized WorkerReply handle(WorkerCall call, Instant now) {
    advance(now);
    if (call instanceof WorkerCall.AcquireLease acquire) {
      return acquire(acquire, now);
    }
    if (call instanceof WorkerCall.RenewLease renew) {
      return renew(renew, now);
    }
    if (call instanceof WorkerCall.ReleaseLease release) {
      return release(release);
    }
    if (call instanceof WorkerCall.StartTask start) {
      return start(start, now);
    }
    if (call instanceof WorkerCall.StopTask stop) {
      return stop(stop, now);
    }
    if (call instanceof WorkerCall.ReadTask read) {
      return attemptState(read.attempt(), now);
    }
    return new WorkerReply.ReportRead(report(now));
  }

  private Instant workerTime(Instant now) {
    return now.plus(clockOffset);
  }

  private WorkerReply acquire(WorkerCall.AcquireLease call, Instant now) {
    boolean leaseHeld = holder.isPresent() && workerTime(now).isBefore(leaseDeadline);
    if (leaseHeld && !holder.get().equals(call.holder())) {
      return new WorkerReply.LeaseHeld(holder.get(), leaseDeadline);
    }
    token++;
    holder = Optional.of(call.holder());
    leaseDeadline = call.deadline();
    return new WorkerReply.LeaseGranted(token, leaseDeadline, workerTime(now), bootId);
  }

  private boolean isCurrent(long callToken) {
    return holder.isPresent() && callToken == token;
  }

  private WorkerReply renew(WorkerCall.RenewLease call, Instant now) {
    if (!isCurrent(call.token())) {
      return new WorkerReply.Refused(Refusal.OLD_TOKEN);
    }
    leaseDeadline = call.deadline();
    for (WorkerCall.Extension extension : call.extensions()) {
      AttemptRun run = runs.get(extension.attempt());
      if (run != null) {
        run.horizon = extension.horizon();
      }
    }
    List<AttemptId> kept =
        runs.values().stream()
            .filter(run -> run.isRunning() && run.startCall.kept())
            .map(run -> run.startCall.attempt())
            .toList();
    boolean digestMatches = AttemptDigest.of(kept) == call.digest();
    Optional<List<AttemptView>> views = digestMatches ? Optional.empty() : Optional.of(keptViews());
    return new WorkerReply.LeaseRenewed(leaseDeadline, workerTime(now), leaving, views);
  }

  private List<AttemptView> keptViews() {
    return runs.values().stream()
        .filter(run -> run.startCall.kept())
        .map(AttemptRun::view)
        .toList();
  }

  private WorkerReply release(WorkerCall.ReleaseLease call) {
    if (!isCurrent(call.token())) {
      return new WorkerReply.Refused(Refusal.OLD_TOKEN);
    }
    holder = Optional.empty();
    return new WorkerReply.LeaseReleased();
  }

  private WorkerReply start(WorkerCall.StartTask call, Instant now) {
    AttemptRun existing = runs.get(call.attempt());
    if (existing != null) {
      return existing.fenced
          ? new WorkerReply.Refused(Refusal.FENCED)
          : attemptState(call.attempt(), now);
    }
    if (!isCurrent(call.token())) {
      return new WorkerReply.Refused(Refusal.OLD_TOKEN);
    }
    if (workerTime(now).isAfter(call.notAfter())) {
      return new WorkerReply.Refused(Refusal.TOO_LATE);
    }
    AttemptRun run = new AttemptRun(name, call, now, failsEverything);
    runs.put(call.attempt(), run);
    runningCount++;
    inUse = inUse.plus(call.resources());
    peakRunning = Math.max(peakRunning, runningCount);
    peakInUse = componentwiseMaximum(peakInUse, inUse);
    return attemptState(call.attempt(), now);
  }

  private static Resources componentwiseMaximum(Resources first, Resources second) {
    return new Resources(
        Math.max(first.milliProcessors(), second.milliProcessors()),
        Math.max(first.memoryMebibytes(), second.memoryMebibytes()),
        Math.max(first.accelerators(), second.accelerators()));
  }

  private WorkerReply stop(WorkerCall.StopTask call, Instant now) {
    if (!isCurrent(call.token())) {
      return new WorkerReply.Refused(Refusal.OLD_TOKEN);
    }
    AttemptRun run = runs.get(call.attempt());
    if (run == null) {
      WorkerCall.StartTask fence =
          new WorkerCall.StartTask(
              call.token(), call.attempt(), Resources.NONE, now, now, false, "");
      runs.put(call.attempt(), AttemptRun.fence(name, fence, now));
    } else if (run.isRunning()) {
      endRun(run, now, AttemptResult.STOPPED);
    }
    return attemptState(call.attempt(), now);
  }

  private WorkerReply attemptState(AttemptId attempt, Instant now) {
    AttemptRun run = runs.get(attempt);
    AttemptView view =
        run == null ? AttemptView.absent(attempt, AttemptPhase.NEVER_SEEN) : run.view();
    return new WorkerReply.AttemptState(workerTime(now), bootId, view);
  }

  /**
   * Returns a report of all tasks that the worker still knows.
   *
   * @param now the present true time
   */
  public synchronized WorkerTaskReport report(Instant now) {
    advance(now);
    List<AttemptView> views =
        runs.values().stream().filter(run -> !run.fenced).map(AttemptRun::view).toList();
    return new WorkerTaskReport(workerTime(now), bootId, leaving, views);
  }

  /**
   * Ends the tasks whose run time is over or whose horizon has passed, and forgets the tasks that
   * ended more than 10 min ago; their run records are kept.
   *
   * @param now the present true time
   */
  public synchronized void advance(Instant now) {
    for (AttemptRun run : runs.values()) {
      if (run.isRunning()) {
        endIfDue(run, now);
      }
    }
    Instant oldest = now.minus(RECORD_RETENTION);
    List<AttemptRun> expired =
        runs.values().stream()
            .filter(run -> run.endedAt.map(at -> at.isBefore(oldest)).orElse(false))
            .toList();
    for (AttemptRun run : expired) {
      removedRunRecords.add(run.toRunRecord());
      runs.remove(run.startCall.attempt());
    }
  }

  private void endIfDue(AttemptRun run, Instant now) {
    Instant trueHorizon = run.horizon.minus(clockOffset);
    if (!run.plannedEnd.isAfter(now) && !run.plannedEnd.isAfter(trueHorizon)) {
      endRun(run, run.plannedEnd, run.script.fails() ? AttemptResult.FAILED : AttemptResult.DONE);
    } else if (!now.isBefore(trueHorizon)) {
      endRun(run, trueHorizon, AttemptResult.LAPSED);
    }
  }

  private void endRun(AttemptRun run, Instant at, AttemptResult result) {
    run.endIfRunning(at, result);
    runningCount--;
    inUse = inUse.minus(run.startCall.resources());
  }

  /**
   * Returns the true time at which an attempt has ended or, while it is running, at which its run
   * time is over; empty if the worker doesn't know the attempt.
   */
  public synchronized Optional<Instant> expectedEndOf(AttemptId attempt) {
    return Optional.ofNullable(runs.get(attempt)).map(run -> run.endedAt.orElse(run.plannedEnd));
  }

  /** Returns the records of all runs so far. */
  public synchronized List<RunRecord> runRecords() {
    List<RunRecord> records = new ArrayList<>(removedRunRecords);
    Collection<AttemptRun> currentRuns = runs.values();
    currentRuns.stream()
        .filter(run -> !run.fenced)
        .map(AttemptRun::toRunRecord)
        .forEach(records::add);
    return records;
  }

  /** Returns, for each resource, the largest amount that was in use at one time. */
  public synchronized Resources peakInUse() {
    return peakInUse;
  }

  /** Returns the largest number of tasks that ran at one time. */
  public synchronized int peakRunning() {
    return peakRunning;
  }

  /** Returns the holder of the lease, or empty if the worker's lease is free or expired. */
  public synchronized Optional<EntryId> holder(Instant now) {
    return workerTime(now).isBefore(leaseDeadline) ? holder : Optional.empty();
  }

  /** The run of an attempt, or a fence that bars an attempt from starting later. */
  private static final class AttemptRun {

    private final String worker;
    private final WorkerCall.StartTask startCall;
    private final Instant startedAt;
    private final WorkScript script;
    private final Instant plannedEnd;
    private Instant horizon;
    private boolean fenced;
    private Optional<Instant> endedAt = Optional.empty();
    private Optional<AttemptResult> result = Optional.empty();

    private AttemptRun(String worker, WorkerCall.StartTask startCall, Instant now, boolean fails) {
      this.worker = worker;
      this.startCall = startCall;
      this.startedAt = now;
      WorkScript scripted = WorkScript.of(startCall.payload());
      Duration runTime = fails ? Duration.ofMillis(1) : scripted.runTime();
      this.script = new WorkScript(runTime, fails || scripted.fails(), scripted.answer());
      this.plannedEnd = now.plus(runTime);
      this.horizon = startCall.horizon();
    }

    private static AttemptRun fence(String worker, WorkerCall.StartTask startCall, Instant now) {
      AttemptRun run = new AttemptRun(worker, startCall, now, false);
      run.fenced = true;
      run.endedAt = Optional.of(now);
      return run;
    }

    private boolean isRunning() {
      return endedAt.isEmpty();
    }

    private void endIfRunning(Instant at, AttemptResult newResult) {
      if (isRunning()) {
        endedAt = Optional.of(at);
        result = Optional.of(newResult);
      }
    }

    private AttemptView view() {
      if (fenced) {
        return AttemptView.absent(startCall.attempt(), AttemptPhase.FENCED);
      }
      Optional<String> answer =
          result
              .filter(attemptResult -> attemptResult == AttemptResult.DONE)
              .map(attemptResult -> script.answer());
      return new AttemptView(
          startCall.attempt(),
          isRunning() ? AttemptPhase.RUNNING : AttemptPhase.ENDED,
          startCall.resources(),
          startCall.kept(),
          result,
          answer,
          Optional.of(startedAt));
    }

    private RunRecord toRunRecord() {
      return new RunRecord(
          worker,
          startCall.attempt().task(),
          startCall.attempt().number(),
          startCall.resources(),
          startCall.payload(),
          startedAt,
          endedAt,
          result);
    }
  }
}
