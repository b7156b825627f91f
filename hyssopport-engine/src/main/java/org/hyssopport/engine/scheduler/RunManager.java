package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.quota.OrganisationLimits;
import org.hyssopport.engine.worker.RunEnd;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerRunReport;

/**
 * Manages the life cycle of runs, from storing the assignment through start and stop orders to the
 * end of the run.
 *
 * <p>A task gets its next run only once the earlier one is proved to be over: the worker reported
 * its end, refused its start, or sent a report that proves it over by not listing it (see {@link
 * TrackedRun#isGoneIfUnlisted}); or the worker's lease has expired; or another incarnation refused
 * an order or poll that was meant for the worker's earlier one.
 */
final class RunManager {

  /** After this number of start orders without an answer, a run is stopped. */
  private static final int MAXIMUM_STARTS_SENT = 3;

  /** Tasks without an end that fail because of their worker fail within a shorter time. */
  private static final Duration STEADY_RUN_TIME = Duration.ofSeconds(2);

  private static final Duration STOP_RESEND_INTERVAL = Duration.ofMillis(400);

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final JournalQueue journal;
  private final OrganisationLimits limits;
  private final FailureAttribution failureAttribution;

  /** Runs whose stop was ordered and not confirmed, with the worker that got the order. */
  private final Map<TrackedRun, TrackedWorker> unconfirmedStops = new LinkedHashMap<>();

  /** Runs whose start order is resent after the next report of the worker, with that worker. */
  private final Map<TrackedRun, TrackedWorker> awaitingReport = new LinkedHashMap<>();

  RunManager(
      SchedulerContext context,
      JobRegistry jobs,
      TrackedWorkerRegistry workers,
      JournalQueue journal,
      OrganisationLimits limits) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
    this.journal = journal;
    this.limits = limits;
    failureAttribution = new FailureAttribution(context, workers);
  }

  /** Assigns a run to a worker and orders its start once the assignment is stored. */
  void assignRun(
      Step step, Task task, int runNumber, TrackedWorker worker, Optional<Ticket> ticket) {
    task.assign(runNumber, worker.id(), worker.description().incarnation());
    RunId runId = new RunId(task.id(), runNumber);
    TrackedRun trackedRun = TrackedRun.of(runId, step, RunPhase.STORING, context.now());
    trackedRun.setTicket(ticket);
    worker.add(trackedRun);
    worker.circuitBreaker().recordPlacement(runId, context.now());
    journal.addProgressed(step.job());
    journal.afterStored(() -> onAssignmentStored(worker, trackedRun));
  }

  private void onAssignmentStored(TrackedWorker worker, TrackedRun trackedRun) {
    boolean current = worker.run(trackedRun.id()).filter(trackedRun::equals).isPresent();
    if (!current || trackedRun.phase() != RunPhase.STORING) {
      return;
    }
    reasonNotToStart(worker, trackedRun)
        .ifPresentOrElse(
            reason -> releaseRun(worker, trackedRun, reason), () -> sendStart(worker, trackedRun));
  }

  /** Returns why a run must not start any more although its assignment is stored. */
  private Optional<String> reasonNotToStart(TrackedWorker worker, TrackedRun trackedRun) {
    if (!trackedRun.isOfService(worker.description().service())) {
      return Optional.of("queue moved to another service before the start was ordered");
    } else if (!worker.acceptsWork()) {
      return Optional.of("worker stopped accepting work before the start was ordered");
    } else if (trackedRun.isTicketExpired(context.now())) {
      return Optional.of("ticket expired before the start was ordered");
    } else if (isBeyondLimit(trackedRun)) {
      return Optional.of("limit of the organisation was lowered before the start");
    } else if (!context.mayGrantLeases()) {
      return Optional.of("leadership was not confirmed before the start was ordered");
    }
    return Optional.empty();
  }

  /** Returns whether a limit was lowered since the run was assigned, below what may run already. */
  private boolean isBeyondLimit(TrackedRun trackedRun) {
    return trackedRun.step().filter(step -> limits.isExceeded(step.job().definition())).isPresent();
  }

  private void sendStart(TrackedWorker worker, TrackedRun trackedRun) {
    Step step = trackedRun.step().orElseThrow();
    Task task = step.task(trackedRun.id().task().index());
    long leaseUntil = worker.leaseUntil(context.settings().lease(), context.now()).orElseThrow();
    worker.recordLeaseGranted(leaseUntil);
    trackedRun.recordStartOrdered(context.now(), worker.latestClockMillis());
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

  /** Handles the result of a start order. */
  void onStartResult(TrackedWorker worker, RunId runId, OrderResult result) {
    Optional<TrackedRun> found = worker.run(runId);
    if (found.isEmpty()) {
      return;
    }
    TrackedRun trackedRun = found.get();
    trackedRun.recordStartResult();
    if (!result.isFromCall()) {
      worker.withdrawOrder(trackedRun.lastOrderAt());
    } else if (!result.isAnswer()) {
      worker.recordDoubtfulIncarnation(context.now());
    }
    switch (result) {
      case DONE -> {
        trackedRun.recordStartConfirmed(context.now());
        trackedRun.step().ifPresent(step -> markJobStarted(step.job()));
        worker.schedulePollBy(context.now());
      }
      case UNANSWERED -> resendOrStop(worker, trackedRun);
      case NOT_SENT -> {
        worker.recordUnreachable(context.now());
        if (trackedRun.startsSent() == 1) {
          onStartRefused(worker, trackedRun, result);
        } else {
          resendOrStop(worker, trackedRun);
        }
      }
      case UNHEALTHY -> {
        worker.recordUnreachable(context.now());
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
   * Handles a refused start order. The refusal proves that nothing ran only if no other start order
   * was sent for the run. Otherwise an earlier order may have started the run, which may even have
   * ended, so the run is stopped and the worker's report decides.
   */
  private void onStartRefused(TrackedWorker worker, TrackedRun trackedRun, OrderResult result) {
    boolean mayHaveRun =
        trackedRun.startsSent() > 1
            || trackedRun.startConfirmedAt().isPresent()
            || result == OrderResult.OLD_RUN;
    if (!mayHaveRun) {
      releaseRun(worker, trackedRun, "start refused: " + result);
    } else if (trackedRun.phase() == RunPhase.ORDERED) {
      stop(
          worker,
          trackedRun,
          "start refused, but an earlier start order may have taken effect: " + result);
    }
  }

  /**
   * Resends a start order that may not have arrived, or stops the run if it is too late for that.
   *
   * <p>The worker may have started again since the first order and would then run whatever arrives.
   * A ticket is valid during one incarnation only, so an order that carries one can be resent at
   * once; any other is resent only after a newer report of the same incarnation.
   */
  private void resendOrStop(TrackedWorker worker, TrackedRun trackedRun) {
    if (trackedRun.phase() != RunPhase.ORDERED) {
      return;
    }
    if (!mayResend(trackedRun)) {
      stop(worker, trackedRun, "start not answered; it is not resent");
    } else if (trackedRun.ticket().isPresent()) {
      sendStart(worker, trackedRun);
    } else {
      trackedRun.recordReportNeeded(context.now());
      awaitingReport.put(trackedRun, worker);
      worker.schedulePollBy(context.now());
    }
  }

  private boolean mayResend(TrackedRun trackedRun) {
    // The second half of the gang window is left for stopping the other tasks of the gang, or for
    // starting the gang again.
    Duration resendWithin = context.settings().gangWindow().dividedBy(2);
    return !isBeyondLimit(trackedRun)
        && trackedRun.startsSent() < MAXIMUM_STARTS_SENT
        && !trackedRun.isTicketExpired(context.now())
        && context.mayGrantLeases()
        && context.now().isBefore(trackedRun.placedAt().plus(resendWithin));
  }

  /** Resends the start orders that a report of the worker does not show to have been received. */
  private void resendUnlistedStarts(TrackedWorker worker, Instant pollSentAt) {
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      boolean reported =
          trackedRun.reportNeededSince().filter(at -> !pollSentAt.isBefore(at)).isPresent();
      if (reported && isBeyondLimit(trackedRun)) {
        stop(
            worker, trackedRun, "start not answered, and the limit of the organisation is reached");
      } else if (reported && !context.mayGrantLeases()) {
        stop(worker, trackedRun, "start not answered, and leadership is not confirmed");
      } else if (reported) {
        sendStart(worker, trackedRun);
      }
    }
  }

  /** Stops the runs whose worker has not reported in time for another start order. */
  void stopUnreportedStarts() {
    awaitingReport.entrySet().removeIf(entry -> !isReportNeeded(entry.getKey(), entry.getValue()));
    List.copyOf(awaitingReport.entrySet())
        .forEach(
            entry -> {
              if (!mayResend(entry.getKey())) {
                stop(entry.getValue(), entry.getKey(), "start not answered, nor reported in time");
              }
            });
  }

  private static boolean isReportNeeded(TrackedRun trackedRun, TrackedWorker worker) {
    boolean current = worker.run(trackedRun.id()).filter(trackedRun::equals).isPresent();
    return current && trackedRun.reportNeededSince().isPresent();
  }

  /**
   * Orders the worker to stop a run, unless that was ordered before. A run whose start was not
   * ordered yet is released at once.
   */
  void stop(TrackedWorker worker, TrackedRun trackedRun, String reason) {
    if (trackedRun.phase() == RunPhase.STORING) {
      releaseRun(worker, trackedRun, reason);
      return;
    }
    if (trackedRun.phase() == RunPhase.STOPPING) {
      return;
    }
    context.logDecision(
        "stop", trackedRun.id().task(), Map.of("run", trackedRun.id().number(), "reason", reason));
    sendStop(worker, trackedRun);
  }

  private void sendStop(TrackedWorker worker, TrackedRun trackedRun) {
    trackedRun.recordStopOrdered(context.now(), worker.latestClockMillis());
    worker.recordOrderSent(context.now());
    unconfirmedStops.put(trackedRun, worker);
    context.emit(new SchedulerEffect.Stop(worker.description(), trackedRun.id()));
  }

  /** Handles the result of a stop order. */
  void onStopResult(TrackedWorker worker, RunId runId, OrderResult result) {
    if (result == OrderResult.DONE || result == OrderResult.OLD_RUN) {
      worker.run(runId).ifPresent(trackedRun -> trackedRun.recordStopConfirmed(context.now()));
      worker.schedulePollBy(context.now());
    }
  }

  /** Resends unconfirmed stop orders. */
  void resendStops() {
    Instant now = context.now();
    unconfirmedStops
        .entrySet()
        .removeIf(entry -> !isStopUnconfirmed(entry.getKey(), entry.getValue()));
    List.copyOf(unconfirmedStops.entrySet())
        .forEach(
            entry -> {
              TrackedRun trackedRun = entry.getKey();
              TrackedWorker worker = entry.getValue();
              // A silent worker is still polled; its stops are resent once it answers a poll.
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

  /** Stops all current runs of a job. */
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
                      .run(new RunId(task.id(), task.lastRunNumber()))
                      .ifPresent(trackedRun -> stop(worker, trackedRun, reason)));
    }
  }

  /** Applies a worker's report: ended, running and missing runs. */
  void applyReport(TrackedWorker worker, WorkerRunReport report, Instant pollSentAt) {
    boolean wasComplete = worker.isReportComplete();
    worker.recordReport(report, pollSentAt, context.now());
    applyEnds(worker, report.ended());
    Set<RunId> listed = new HashSet<>();
    for (WorkerRunReport.RunningRun running : report.running()) {
      listed.add(running.run());
      applyRunning(worker, running);
    }
    if (report.moreEnds()) {
      // A run that is not listed may have ended; its end is listed once these are acknowledged.
      if (wasComplete) {
        context.logDecision(
            "report incomplete", "", Map.of("worker", worker.id(), "ends", report.ended().size()));
      }
      return;
    }
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      if (!listed.contains(trackedRun.id()) && trackedRun.isGoneIfUnlisted(pollSentAt)) {
        releaseRun(worker, trackedRun, "run is missing from the worker's report");
      }
    }
    resendUnlistedStarts(worker, pollSentAt);
  }

  private void applyEnds(TrackedWorker worker, List<WorkerRunReport.EndedRun> ended) {
    long highest = worker.processedEndNumber();
    for (WorkerRunReport.EndedRun endedRun : ended) {
      if (endedRun.endNumber() > worker.processedEndNumber()) {
        highest = Math.max(highest, endedRun.endNumber());
        applyEnd(worker, endedRun);
      }
    }
    if (highest > worker.processedEndNumber()) {
      long upTo = highest;
      worker.recordProcessedEnds(upTo);
      journal.afterStored(
          () -> {
            worker.recordStoredEnds(upTo);
            worker.schedulePollBy(context.now());
          });
    }
  }

  private void applyEnd(TrackedWorker worker, WorkerRunReport.EndedRun endedRun) {
    RunId runId = endedRun.run();
    worker.remove(runId);
    context.requestPlacement();
    Optional<Step> found = jobs.findStep(runId.task().step());
    if (found.isEmpty() || !found.get().hasTask(runId.task().index())) {
      return;
    }
    Step step = found.get();
    Task task = step.task(runId.task().index());
    task.removeOrphanedRun(runId.number());
    boolean current =
        task.lastRunNumber() == runId.number()
            && task.worker().filter(worker.id()::equals).isPresent();
    if (endedRun.end() == RunEnd.DONE && !step.definition().lasting()) {
      failureAttribution.recordSuccess(step, worker);
      onRunDone(step, task, current);
    } else {
      boolean newlyFailed =
          endedRun.end() == RunEnd.FAILED && recordFailure(worker, step, task, runId);
      if (current) {
        onRunEnded(worker, step, task, endedRun);
      } else if (newlyFailed) {
        updateAndStoreJob(step.job());
      }
    }
  }

  /**
   * Records a failed run, also of a task that has a newer one: it counts as one of the attempts.
   *
   * @return whether the run was not counted before
   */
  private boolean recordFailure(TrackedWorker worker, Step step, Task task, RunId runId) {
    if (step.job().isEnded() || task.done()) {
      return false;
    }
    failureAttribution.recordFailure(step, runId, worker);
    return step.recordFailedRun(task, runId.number());
  }

  private void onRunDone(Step step, Task task, boolean current) {
    Job job = step.job();
    if (job.isEnded() || task.done()) {
      return;
    }
    if (!current) {
      stopStep(step, "an earlier run of the task completed");
    }
    step.markTaskDone(task);
    updateAndStoreJob(job);
  }

  private void onRunEnded(
      TrackedWorker worker, Step step, Task task, WorkerRunReport.EndedRun endedRun) {
    task.clearAssignment();
    step.saveCheckpoint(task, endedRun.checkpoint());
    context.logDecision(
        "run ended",
        task.id(),
        Map.of(
            "run", task.lastRunNumber(),
            "end", endedRun.end(),
            "worker", worker.id(),
            "failures", step.definition().gang() ? step.failures() : task.failures()));
    if (step.definition().gang()) {
      stopStep(step, "another task of the gang ended");
    }
    updateAndStoreJob(step.job());
  }

  /** Updates the state of a job, stops its runs if it has ended, and stores its progress. */
  void updateAndStoreJob(Job job) {
    boolean wasEnded = job.isEnded();
    job.updateState(context.now());
    if (job.isEnded() && !wasEnded) {
      context.logDecision("job over", job.id(), Map.of("state", job.state()));
      stopAllRuns(job, "job has ended");
    }
    if (job.isEnded()) {
      failureAttribution.forget(job);
    }
    journal.addProgressed(job);
    JobState state = job.state();
    journal.afterStored(() -> job.recordStoredState(state));
    jobs.deactivateIfEnded(job);
  }

  private void applyRunning(TrackedWorker worker, WorkerRunReport.RunningRun runningRun) {
    RunId runId = runningRun.run();
    Optional<Step> step =
        jobs.findStep(runId.task().step())
            .filter(knownStep -> knownStep.hasTask(runId.task().index()));
    // The stored progress of an ended job lists no runs, so its run numbers prove nothing.
    boolean neverAssigned =
        step.filter(knownStep -> !knownStep.job().isEnded())
            .filter(
                knownStep -> knownStep.task(runId.task().index()).lastRunNumber() < runId.number())
            .isPresent();
    if (neverAssigned) {
      // An assignment is stored before the start is ordered, and this scheduler knows of none, so
      // another scheduler has taken over and assigned this run.
      context.emit(
          new SchedulerEffect.StepDown(
              "worker "
                  + worker.id()
                  + " runs "
                  + runId
                  + ", which this scheduler never assigned: a newer scheduler is active"));
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
      step.ifPresent(knownStep -> holdTask(knownStep, runId));
      stop(worker, orphanedRun, "run is not assigned to this worker");
      return;
    }
    TrackedRun trackedRun = worker.run(runId).get();
    trackedRun.recordStartConfirmed(context.now());
    step.ifPresent(
        knownStep -> applyProgress(worker, trackedRun, knownStep, runningRun.checkpoint()));
  }

  /**
   * Keeps a task from being started while an orphaned run of it may run, and withdraws an
   * assignment that is still being stored.
   */
  private void holdTask(Step step, RunId orphanedRun) {
    Task task = step.task(orphanedRun.task().index());
    task.addOrphanedRun(orphanedRun.number());
    RunId assignedRun = new RunId(task.id(), task.lastRunNumber());
    task.worker()
        .flatMap(workers::find)
        .ifPresent(
            worker ->
                worker
                    .run(assignedRun)
                    .filter(trackedRun -> trackedRun.phase() == RunPhase.STORING)
                    .ifPresent(
                        trackedRun ->
                            releaseRun(
                                worker, trackedRun, "an earlier run of the task may be running")));
  }

  private void applyProgress(
      TrackedWorker worker, TrackedRun trackedRun, Step step, String checkpoint) {
    Task task = step.task(trackedRun.id().task().index());
    if (step.job().isEnded() || task.lastRunNumber() != trackedRun.id().number()) {
      stop(worker, trackedRun, "job has ended or a newer run was assigned");
      return;
    }
    step.saveCheckpoint(task, checkpoint);
    markJobStarted(step.job());
    if (step.definition().lasting()) {
      trackedRun
          .startConfirmedAt()
          .filter(at -> context.now().isAfter(at.plus(STEADY_RUN_TIME)))
          .ifPresent(at -> failureAttribution.recordSteadyRun(step, worker, at));
    }
  }

  /** Releases all runs of a worker whose incarnation has ended, so that their tasks wait again. */
  void releaseAllRuns(TrackedWorker worker, String reason) {
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      releaseRun(worker, trackedRun, reason);
    }
  }

  /**
   * Stops, on an incarnation that was just discovered, a run whose start order may have reached or
   * may still reach it.
   */
  void stopPossibleRun(TrackedWorker worker, RunId runId, Step step) {
    TrackedRun trackedRun = TrackedRun.of(runId, step, RunPhase.STOPPING, context.now());
    worker.add(trackedRun);
    holdTask(step, runId);
    sendStop(worker, trackedRun);
  }

  /** Releases the runs that the worker killed when its lease expired. */
  void onLeaseExpired(TrackedWorker worker) {
    for (TrackedRun trackedRun : List.copyOf(worker.runs())) {
      if (trackedRun.phase().mayRun()) {
        releaseRun(worker, trackedRun, "lease of the worker expired");
      }
    }
  }

  /**
   * Releases a run that is over although its worker reported no end, so that its task waits again.
   */
  void releaseRun(TrackedWorker worker, TrackedRun trackedRun, String reason) {
    worker.remove(trackedRun.id());
    context.requestPlacement();
    if (trackedRun.step().isEmpty()) {
      return;
    }
    Step step = trackedRun.step().get();
    Task task = step.task(trackedRun.id().task().index());
    task.removeOrphanedRun(trackedRun.id().number());
    if (task.lastRunNumber() != trackedRun.id().number() || task.worker().isEmpty()) {
      return;
    }
    task.clearAssignment();
    context.logDecision(
        "run over",
        task.id(),
        Map.of("run", task.lastRunNumber(), "reason", reason, "worker", worker.id()));
    jobs.deactivateIfEnded(step.job());
    if (step.definition().gang()) {
      stopStep(step, "run of another task of the gang is over: " + reason);
    }
  }
}
