package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.worker.RunEnd;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerRunReport;

/**
 * Carries runs through their life: stored, ordered, running, stopped, ended.
 *
 * <p>A task gets its next run only when its earlier one is proved over: its end is listed, the
 * worker refused it, its stop was confirmed and it is listed no more, or its lease has lapsed.
 */
final class RunManager {

  /** How often a start without an answer is sent again before the run is stopped. */
  private static final int MAXIMUM_STARTS_SENT = 3;

  /** How long a stop without an answer waits before it is sent again. */
  private static final Duration STOP_RESEND_INTERVAL = Duration.ofMillis(400);

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final JournalQueue journal;

  /** The runs whose stops were ordered, and where; those that are confirmed are taken out. */
  private final Map<TrackedRun, TrackedWorker> unconfirmedStops = new LinkedHashMap<>();

  private final UnansweredStarts unansweredStarts = new UnansweredStarts();

  RunManager(
      SchedulerContext context,
      JobRegistry jobs,
      TrackedWorkerRegistry workers,
      JournalQueue journal) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
    this.journal = journal;
  }

  /** Assigns a run to a worker; its start is ordered once the assignment is stored. */
  void assignRun(
      Step step, Task task, int runNumber, TrackedWorker worker, Optional<String> ticket) {
    task.assign(runNumber, worker.id(), worker.description().incarnation());
    RunId runId = new RunId(task.id(), runNumber);
    TrackedRun trackedRun = TrackedRun.of(runId, step, RunPhase.STORING, context.now());
    trackedRun.setTicket(ticket);
    worker.add(trackedRun);
    journal.addProgressed(step.job());
    journal.afterStored(() -> onAssignmentStored(worker, trackedRun));
  }

  private void onAssignmentStored(TrackedWorker worker, TrackedRun trackedRun) {
    boolean current = worker.run(trackedRun.id()).filter(trackedRun::equals).isPresent();
    if (!current || trackedRun.phase() != RunPhase.STORING) {
      return;
    }
    if (worker.acceptsWork()) {
      sendStart(worker, trackedRun);
    } else {
      releaseRun(worker, trackedRun, "worker takes no work any more");
    }
  }

  private void sendStart(TrackedWorker worker, TrackedRun trackedRun) {
    Step step = trackedRun.step().orElseThrow();
    Task task = step.task(trackedRun.id().task().index());
    long leaseUntil = worker.leaseUntil(context.settings().lease(), context.now()).orElseThrow();
    worker.recordLeaseGranted(leaseUntil);
    trackedRun.recordStartOrdered(context.now());
    worker.recordOrderSent(context.now());
    context.emit(
        new SchedulerEffect.Start(
            worker.description(),
            trackedRun.id(),
            step.job().definition().payload(),
            leaseUntil,
            task.checkpoint(),
            trackedRun.ticket()));
  }

  /** Takes in the answer to a start. */
  void onStartAnswered(TrackedWorker worker, RunId runId, OrderResult result) {
    Optional<TrackedRun> found = worker.run(runId);
    if (found.isEmpty()) {
      return;
    }
    TrackedRun trackedRun = found.get();
    switch (result) {
      case DONE -> {
        trackedRun.recordStartConfirmed(context.now());
        trackedRun.step().ifPresent(step -> markJobStarted(step.job()));
        worker.schedulePollBy(context.now());
      }
      case UNANSWERED -> {
        unansweredStarts.add(worker.id(), runId, context.now());
        resendOrStop(worker, trackedRun);
      }
      case NOT_SENT -> {
        worker.circuitBreaker().recordUnreachable(context.now());
        if (trackedRun.startsSent() == 1) {
          onStartRefused(worker, trackedRun, result);
        } else {
          resendOrStop(worker, trackedRun);
        }
      }
      case UNHEALTHY -> {
        worker.circuitBreaker().recordUnreachable(context.now());
        onStartRefused(worker, trackedRun, result);
      }
      default -> onStartRefused(worker, trackedRun, result);
    }
  }

  private void markJobStarted(Job job) {
    job.markStarted();
    job.recordStoredState(job.state() == JobState.RUNNING ? JobState.RUNNING : job.storedState());
  }

  /**
   * Takes in a refusal. It proves that nothing ran only if no other start was sent; else the
   * earlier one may have run, and even ended, so the run is stopped and the worker's list decides.
   */
  private void onStartRefused(TrackedWorker worker, TrackedRun trackedRun, OrderResult result) {
    boolean mayHaveRun =
        trackedRun.startsSent() > 1
            || trackedRun.startConfirmedAt().isPresent()
            || result == OrderResult.OLD_RUN;
    if (!mayHaveRun) {
      releaseRun(worker, trackedRun, "start refused: " + result);
    } else if (trackedRun.phase() == RunPhase.ORDERED) {
      stop(worker, trackedRun, "start refused after an earlier one: " + result);
    }
  }

  private void resendOrStop(TrackedWorker worker, TrackedRun trackedRun) {
    // Half of the gang window is left for stopping the other members, or for starting anew.
    Duration resendWithin = context.settings().gangWindow().dividedBy(2);
    boolean inTime = context.now().isBefore(trackedRun.placedAt().plus(resendWithin));
    if (trackedRun.phase() == RunPhase.ORDERED
        && trackedRun.startsSent() < MAXIMUM_STARTS_SENT
        && inTime) {
      sendStart(worker, trackedRun);
    } else if (trackedRun.phase() == RunPhase.ORDERED) {
      stop(worker, trackedRun, "start not answered");
    }
  }

  /** Stops a run, wherever it stands. */
  void stop(TrackedWorker worker, TrackedRun trackedRun, String reason) {
    if (trackedRun.phase() == RunPhase.STORING) {
      releaseRun(worker, trackedRun, reason);
      return;
    }
    if (trackedRun.phase() == RunPhase.STOPPING) {
      return;
    }
    context.logDecision(
        "stop", trackedRun.id().task(), Map.of("run", trackedRun.id().run(), "reason", reason));
    sendStop(worker, trackedRun);
  }

  private void sendStop(TrackedWorker worker, TrackedRun trackedRun) {
    trackedRun.recordStopOrdered(context.now());
    worker.recordOrderSent(context.now());
    unconfirmedStops.put(trackedRun, worker);
    context.emit(new SchedulerEffect.Stop(worker.description(), trackedRun.id()));
  }

  /** Takes in the answer to a stop. */
  void onStopAnswered(TrackedWorker worker, RunId runId, OrderResult result) {
    if (result == OrderResult.DONE || result == OrderResult.OLD_RUN) {
      worker.run(runId).ifPresent(trackedRun -> trackedRun.recordStopConfirmed(context.now()));
      worker.schedulePollBy(context.now());
    }
  }

  /** Sends stops again that were not answered, and forgets starts that can't arrive any more. */
  void resendStops() {
    unansweredStarts.removeExpired(context.now());
    Instant now = context.now();
    unconfirmedStops
        .entrySet()
        .removeIf(entry -> !isStopUnconfirmed(entry.getKey(), entry.getValue()));
    List.copyOf(unconfirmedStops.entrySet())
        .forEach(
            entry -> {
              TrackedRun trackedRun = entry.getKey();
              TrackedWorker worker = entry.getValue();
              // Looks go on asking a silent worker; its stops are sent again once it answers one.
              boolean due =
                  now.isAfter(trackedRun.lastOrderAt().plus(STOP_RESEND_INTERVAL))
                      && !worker.isSuspect(now);
              if (due && !worker.description().address().isEmpty()) {
                sendStop(worker, trackedRun);
              }
            });
  }

  private static boolean isStopUnconfirmed(TrackedRun trackedRun, TrackedWorker worker) {
    boolean current = worker.run(trackedRun.id()).filter(trackedRun::equals).isPresent();
    return current && trackedRun.stopConfirmedAt().isEmpty();
  }

  /** Stops all runs of a job. */
  void stopAllRuns(Job job, String reason) {
    job.steps().forEach(step -> stopStep(step, reason));
  }

  private void stopStep(Step step, String reason) {
    for (Task task : step.tasks()) {
      task.worker()
          .flatMap(workers::find)
          .ifPresent(
              worker ->
                  worker
                      .run(new RunId(task.id(), task.run()))
                      .ifPresent(trackedRun -> stop(worker, trackedRun, reason)));
    }
  }

  /** Takes in what a worker reports. */
  void applyReport(TrackedWorker worker, WorkerRunReport report, Instant pollSentAt) {
    worker.recordAnswerWithClock(report.clockMillis(), context.now());
    worker.markReportReceived();
    applyEnds(worker, report.ended());
    Set<RunId> listed = new HashSet<>();
    for (WorkerRunReport.RunningRun running : report.running()) {
      listed.add(running.run());
      applyRunning(worker, running);
    }
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      if (!listed.contains(trackedRun.id()) && trackedRun.isGoneIfUnlisted(pollSentAt)) {
        releaseRun(worker, trackedRun, "not listed");
      }
    }
  }

  private void applyEnds(TrackedWorker worker, List<WorkerRunReport.EndedRun> ended) {
    long highest = worker.lastEndNumber();
    for (WorkerRunReport.EndedRun end : ended) {
      if (end.number() > worker.lastEndNumber()) {
        highest = Math.max(highest, end.number());
        applyEnd(worker, end);
      }
    }
    if (highest > worker.lastEndNumber()) {
      long upTo = highest;
      worker.recordEnds(upTo);
      journal.afterStored(
          () -> {
            worker.recordStoredEnds(upTo);
            worker.schedulePollBy(context.now());
          });
    }
  }

  private void applyEnd(TrackedWorker worker, WorkerRunReport.EndedRun end) {
    RunId runId = end.run();
    worker.remove(runId);
    context.requestPlacement();
    Optional<Step> found = jobs.findStep(runId.task().step());
    if (found.isEmpty() || runId.task().index() >= found.get().tasks().size()) {
      return;
    }
    Step step = found.get();
    Task task = step.task(runId.task().index());
    boolean current =
        task.run() == runId.run() && task.worker().filter(worker.id()::equals).isPresent();
    if (end.end() == RunEnd.DONE && !step.definition().lasting()) {
      worker.circuitBreaker().recordSuccess();
      onRunDone(step, task, current);
    } else if (current) {
      onRunEnded(worker, step, task, end);
    }
  }

  private void onRunDone(Step step, Task task, boolean current) {
    Job job = step.job();
    if (job.isEnded() || task.done()) {
      return;
    }
    if (!current) {
      stopStep(step, "an earlier run was done after all");
    }
    step.markTaskDone(task);
    updateAndStoreJob(job);
  }

  private void onRunEnded(
      TrackedWorker worker, Step step, Task task, WorkerRunReport.EndedRun end) {
    task.clearAssignment();
    step.saveCheckpoint(task, end.checkpoint());
    if (end.end() == RunEnd.FAILED) {
      step.countTaskFailure(task);
      worker.circuitBreaker().recordFailure(context.now());
    }
    context.logDecision(
        "run ended",
        task.id(),
        Map.of(
            "run", task.run(),
            "end", end.end(),
            "worker", worker.id(),
            "failures", task.failures()));
    if (step.definition().gang()) {
      stopStep(step, "another member ended");
    }
    updateAndStoreJob(step.job());
  }

  /** Stores the progress of a job, and ends it if that is due. */
  void updateAndStoreJob(Job job) {
    boolean wasEnded = job.isEnded();
    job.updateState(context.now());
    if (job.isEnded() && !wasEnded) {
      context.logDecision("job over", job.id(), Map.of("state", job.state()));
      stopAllRuns(job, "job is over");
    }
    journal.addProgressed(job);
    JobState state = job.state();
    journal.afterStored(() -> job.recordStoredState(state));
    jobs.deactivateIfEnded(job);
  }

  private void applyRunning(TrackedWorker worker, WorkerRunReport.RunningRun running) {
    RunId runId = running.run();
    Optional<Step> step =
        jobs.findStep(runId.task().step())
            .filter(knownStep -> runId.task().index() < knownStep.tasks().size());
    // The runs of a job that is over are not stored any more.
    boolean neverAssigned =
        step.filter(knownStep -> !knownStep.job().isEnded())
            .filter(knownStep -> knownStep.task(runId.task().index()).run() < runId.run())
            .isPresent();
    if (neverAssigned) {
      // Each run is stored before it is ordered, so another scheduler has read the journal since.
      context.emit(
          new SchedulerEffect.StepDown(
              "worker " + worker.id() + " runs " + runId + ", which was never assigned"));
      return;
    }
    if (worker.run(runId).isEmpty()) {
      TrackedRun orphanedRun =
          step.map(knownStep -> TrackedRun.of(runId, knownStep, RunPhase.RUNNING, context.now()))
              .orElseGet(
                  () ->
                      TrackedRun.ofUnknownStep(
                          runId, worker.description().capacity(), context.now()));
      worker.add(orphanedRun);
      stop(worker, orphanedRun, "nobody asks for it");
      return;
    }
    TrackedRun trackedRun = worker.run(runId).get();
    trackedRun.recordStartConfirmed(context.now());
    step.ifPresent(knownStep -> applyProgress(worker, trackedRun, knownStep, running.checkpoint()));
  }

  private void applyProgress(
      TrackedWorker worker, TrackedRun trackedRun, Step step, String checkpoint) {
    Task task = step.task(trackedRun.id().task().index());
    if (step.job().isEnded() || task.run() != trackedRun.id().run()) {
      stop(worker, trackedRun, "job is over or the run is old");
      return;
    }
    step.saveCheckpoint(task, checkpoint);
    markJobStarted(step.job());
  }

  /** Ends all runs of a worker whose incarnation or lease is over. */
  void releaseAllRuns(TrackedWorker worker, String reason) {
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      releaseRun(worker, trackedRun, reason);
    }
  }

  /**
   * Carries the runs of an earlier incarnation over to the next one, to be stopped there: an order
   * that was on its way may have reached either of them.
   */
  void onWorkerRestarted(TrackedWorker earlier, TrackedWorker restarted) {
    for (TrackedRun trackedRun : List.copyOf(earlier.runs())) {
      if (trackedRun.phase() == RunPhase.STORING || trackedRun.step().isEmpty()) {
        releaseRun(earlier, trackedRun, "worker started anew");
      } else {
        earlier.remove(trackedRun.id());
        stopPossibleRun(restarted, trackedRun.id(), trackedRun.step().get());
      }
    }
  }

  /** Makes an incarnation that was just learnt of refuse what earlier ones left unanswered. */
  void stopUnansweredStarts(TrackedWorker worker) {
    for (RunId runId : unansweredStarts.possiblyInFlight(worker.id(), context.now())) {
      if (worker.run(runId).isEmpty()) {
        jobs.findStep(runId.task().step()).ifPresent(step -> stopPossibleRun(worker, runId, step));
      }
    }
  }

  private void stopPossibleRun(TrackedWorker worker, RunId runId, Step step) {
    TrackedRun trackedRun = TrackedRun.of(runId, step, RunPhase.STOPPING, context.now());
    worker.add(trackedRun);
    sendStop(worker, trackedRun);
  }

  /** Ends the runs that were killed when the worker's lease lapsed. */
  void onLeaseExpired(TrackedWorker worker) {
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      if (trackedRun.phase().mayRun()) {
        releaseRun(worker, trackedRun, "lease lapsed");
      }
    }
  }

  /** Notes that a run is over without an end of its own. */
  private void releaseRun(TrackedWorker worker, TrackedRun trackedRun, String reason) {
    worker.remove(trackedRun.id());
    context.requestPlacement();
    if (trackedRun.step().isEmpty()) {
      return;
    }
    Step step = trackedRun.step().get();
    Task task = step.task(trackedRun.id().task().index());
    if (task.run() != trackedRun.id().run() || task.worker().isEmpty()) {
      return;
    }
    task.clearAssignment();
    context.logDecision(
        "run over", task.id(), Map.of("run", task.run(), "reason", reason, "worker", worker.id()));
    jobs.deactivateIfEnded(step.job());
    if (step.definition().gang()) {
      stopStep(step, "another member is gone: " + reason);
    }
  }
}
