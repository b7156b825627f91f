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
 * The state of a stand-in worker: one lease, and tasks that run for as long as their payload says.
 *
 * <p>It refuses old tokens and late starts, but never a task that does not fit: that is for the
 * lease holder to see to.
 *
 * @since 0.1
 */
public final class WorkerModel {

  private static final Duration RECORDS_KEPT = Duration.ofMinutes(10);

  private final String name;
  private final Map<AttemptId, AttemptRun> runs = new LinkedHashMap<>();
  private final List<RunRecord> lostHistory = new ArrayList<>();
  private String bootId;
  private int boots = 1;
  private long token;
  private Optional<EntryId> holder = Optional.empty();
  private Instant leaseDeadline = Instant.EPOCH;
  private Duration clockOffset = Duration.ZERO;
  private boolean leaving;
  private boolean failsEverything;
  private Resources inUse = Resources.NONE;
  private int running;
  private Resources mostInUse = Resources.NONE;
  private int mostRunning;

  private WorkerModel(String name) {
    this.name = name;
    this.bootId = name + "-boot-1";
  }

  /** Returns an idle worker. */
  public static WorkerModel create(String name) {
    return new WorkerModel(name);
  }

  /** Sets the worker's clock apart from true time. */
  public synchronized void setClockOffset(Duration offset) {
    clockOffset = offset;
  }

  /** Marks the worker as leaving. */
  public synchronized void setLeaving(boolean newLeaving) {
    leaving = newLeaving;
  }

  /** Makes everything that starts from now on fail at once. */
  public synchronized void setFailsEverything(boolean fails) {
    failsEverything = fails;
  }

  /** Restarts the worker: all running work is lost. */
  public synchronized void reboot(Instant now) {
    advance(now);
    boots++;
    bootId = name + "-boot-" + boots;
    runs.values().forEach(run -> run.endIfRunning(now, AttemptResult.LAPSED));
    runs.values().stream()
        .filter(run -> !run.fenced)
        .map(AttemptRun::record)
        .forEach(lostHistory::add);
    runs.clear();
    inUse = Resources.NONE;
    running = 0;
    holder = Optional.empty();
    leaseDeadline = Instant.EPOCH;
  }

  /**
   * Takes a call.
   *
   * @param now true time; the worker's clock may differ
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
      return state(read.attempt(), now);
    }
    return new WorkerReply.ReportRead(report(now));
  }

  private Instant clock(Instant now) {
    return now.plus(clockOffset);
  }

  private WorkerReply acquire(WorkerCall.AcquireLease call, Instant now) {
    boolean held = holder.isPresent() && clock(now).isBefore(leaseDeadline);
    if (held && !holder.get().equals(call.holder())) {
      return new WorkerReply.LeaseHeld(holder.get(), leaseDeadline);
    }
    token++;
    holder = Optional.of(call.holder());
    leaseDeadline = call.deadline();
    return new WorkerReply.LeaseGranted(token, leaseDeadline, clock(now), bootId);
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
            .filter(run -> run.isRunning() && run.start.kept())
            .map(run -> run.start.attempt())
            .toList();
    boolean same = AttemptDigest.of(kept) == call.digest();
    Optional<List<AttemptView>> views = same ? Optional.empty() : Optional.of(keptViews());
    return new WorkerReply.LeaseRenewed(leaseDeadline, clock(now), leaving, views);
  }

  private List<AttemptView> keptViews() {
    return runs.values().stream().filter(run -> run.start.kept()).map(AttemptRun::view).toList();
  }

  private WorkerReply release(WorkerCall.ReleaseLease call) {
    if (!isCurrent(call.token())) {
      return new WorkerReply.Refused(Refusal.OLD_TOKEN);
    }
    holder = Optional.empty();
    return new WorkerReply.LeaseReleased();
  }

  private WorkerReply start(WorkerCall.StartTask call, Instant now) {
    AttemptRun known = runs.get(call.attempt());
    if (known != null) {
      return known.fenced ? new WorkerReply.Refused(Refusal.FENCED) : state(call.attempt(), now);
    }
    if (!isCurrent(call.token())) {
      return new WorkerReply.Refused(Refusal.OLD_TOKEN);
    }
    if (clock(now).isAfter(call.notAfter())) {
      return new WorkerReply.Refused(Refusal.TOO_LATE);
    }
    AttemptRun run = new AttemptRun(name, call, now, failsEverything);
    runs.put(call.attempt(), run);
    running++;
    inUse = inUse.plus(call.resources());
    mostRunning = Math.max(mostRunning, running);
    mostInUse = larger(mostInUse, inUse);
    return state(call.attempt(), now);
  }

  private static Resources larger(Resources first, Resources second) {
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
      end(run, now, AttemptResult.STOPPED);
    }
    return state(call.attempt(), now);
  }

  private WorkerReply state(AttemptId attempt, Instant now) {
    AttemptRun run = runs.get(attempt);
    AttemptView view =
        run == null ? AttemptView.absent(attempt, AttemptPhase.NEVER_SEEN) : run.view();
    return new WorkerReply.AttemptState(clock(now), bootId, view);
  }

  /** Returns the report of this moment. */
  public synchronized WorkerTaskReport report(Instant now) {
    advance(now);
    List<AttemptView> views =
        runs.values().stream().filter(run -> !run.fenced).map(AttemptRun::view).toList();
    return new WorkerTaskReport(clock(now), bootId, leaving, views);
  }

  /** Ends what has run for long enough, or whose horizon has passed. */
  public synchronized void advance(Instant now) {
    for (AttemptRun run : runs.values()) {
      if (run.isRunning()) {
        advance(run, now);
      }
    }
    Instant oldest = now.minus(RECORDS_KEPT);
    List<AttemptRun> forgotten =
        runs.values().stream()
            .filter(run -> run.endedAt.map(at -> at.isBefore(oldest)).orElse(false))
            .toList();
    for (AttemptRun run : forgotten) {
      lostHistory.add(run.record());
      runs.remove(run.start.attempt());
    }
  }

  private void advance(AttemptRun run, Instant now) {
    Instant trueHorizon = run.horizon.minus(clockOffset);
    if (!run.endAt.isAfter(now) && !run.endAt.isAfter(trueHorizon)) {
      end(run, run.endAt, run.script.fails() ? AttemptResult.FAILED : AttemptResult.DONE);
    } else if (!now.isBefore(trueHorizon)) {
      end(run, trueHorizon, AttemptResult.LAPSED);
    }
  }

  private void end(AttemptRun run, Instant at, AttemptResult result) {
    run.endIfRunning(at, result);
    running--;
    inUse = inUse.minus(run.start.resources());
  }

  /** Returns the view of an attempt and when it will end by itself. */
  public synchronized Optional<Instant> endOf(AttemptId attempt) {
    return Optional.ofNullable(runs.get(attempt)).map(run -> run.endedAt.orElse(run.endAt));
  }

  /** Returns every run so far. */
  public synchronized List<RunRecord> history() {
    List<RunRecord> all = new ArrayList<>(lostHistory);
    Collection<AttemptRun> known = runs.values();
    known.stream().filter(run -> !run.fenced).map(AttemptRun::record).forEach(all::add);
    return all;
  }

  /** Returns the most resources that were in use at one time. */
  public synchronized Resources mostInUse() {
    return mostInUse;
  }

  /** Returns the most runs at one time. */
  public synchronized int mostRunning() {
    return mostRunning;
  }

  /** Returns who holds the lease now. */
  public synchronized Optional<EntryId> holder(Instant now) {
    return clock(now).isBefore(leaseDeadline) ? holder : Optional.empty();
  }

  /** One run or fence. */
  private static final class AttemptRun {

    private final String worker;
    private final WorkerCall.StartTask start;
    private final Instant startedAt;
    private final WorkScript script;
    private final Instant endAt;
    private Instant horizon;
    private boolean fenced;
    private Optional<Instant> endedAt = Optional.empty();
    private Optional<AttemptResult> result = Optional.empty();

    private AttemptRun(String worker, WorkerCall.StartTask start, Instant now, boolean fails) {
      this.worker = worker;
      this.start = start;
      this.startedAt = now;
      WorkScript stated = WorkScript.of(start.payload());
      Duration runTime = fails ? Duration.ofMillis(1) : stated.runTime();
      this.script = new WorkScript(runTime, fails || stated.fails(), stated.answer());
      this.endAt = now.plus(runTime);
      this.horizon = start.horizon();
    }

    private static AttemptRun fence(String worker, WorkerCall.StartTask start, Instant now) {
      AttemptRun run = new AttemptRun(worker, start, now, false);
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
        return AttemptView.absent(start.attempt(), AttemptPhase.FENCED);
      }
      Optional<String> answer =
          result.filter(each -> each == AttemptResult.DONE).map(each -> script.answer());
      return new AttemptView(
          start.attempt(),
          isRunning() ? AttemptPhase.RUNNING : AttemptPhase.ENDED,
          start.resources(),
          start.kept(),
          result,
          answer,
          Optional.of(startedAt));
    }

    private RunRecord record() {
      return new RunRecord(
          worker,
          start.attempt().task(),
          start.attempt().number(),
          start.resources(),
          start.payload(),
          startedAt,
          endedAt,
          result);
    }
  }
}
