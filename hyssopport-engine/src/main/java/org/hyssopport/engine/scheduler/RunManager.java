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
  private static final int MOST_STARTS = 3;

  /** How long a stop without an answer waits before it is sent again. */
  private static final Duration STOP_RESEND = Duration.ofMillis(400);

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final JournalQueue journal;

  /** The runs whose stops were ordered, and where; those that are confirmed are taken out. */
  private final Map<TrackedRun, TrackedWorker> stopping = new LinkedHashMap<>();

  private final UnansweredStarts lateStarts = new UnansweredStarts();

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
  void assignRun(Step step, Task task, int run, TrackedWorker worker, Optional<String> ticket) {
    task.assign(run, worker.id(), worker.description().incarnation());
    RunId ref = new RunId(task.id(), run);
    TrackedRun held = TrackedRun.of(ref, step, RunPhase.STORING, context.now());
    held.setTicket(ticket);
    worker.add(held);
    journal.addProgressed(step.job());
    journal.afterStored(() -> onAssignmentStored(worker, held));
  }

  private void onAssignmentStored(TrackedWorker worker, TrackedRun held) {
    boolean current = worker.run(held.id()).filter(held::equals).isPresent();
    if (!current || held.phase() != RunPhase.STORING) {
      return;
    }
    if (worker.acceptsWork()) {
      sendStart(worker, held);
    } else {
      releaseRun(worker, held, "worker takes no work any more");
    }
  }

  private void sendStart(TrackedWorker worker, TrackedRun held) {
    Step step = held.step().orElseThrow();
    Task task = step.task(held.id().task().index());
    long until = worker.leaseUntil(context.settings().lease(), context.now()).orElseThrow();
    worker.recordLeaseGranted(until);
    held.recordStartOrdered(context.now());
    worker.recordOrderSent(context.now());
    context.emit(
        new SchedulerEffect.Start(
            worker.description(),
            held.id(),
            step.job().definition().payload(),
            until,
            task.checkpoint(),
            held.ticket()));
  }

  /** Takes in the answer to a start. */
  void onStartAnswered(TrackedWorker worker, RunId ref, OrderResult result) {
    Optional<TrackedRun> known = worker.run(ref);
    if (known.isEmpty()) {
      return;
    }
    TrackedRun held = known.get();
    switch (result) {
      case DONE -> {
        held.recordStartConfirmed(context.now());
        held.step().ifPresent(step -> markJobStarted(step.job()));
        worker.schedulePollBy(context.now());
      }
      case UNANSWERED -> {
        lateStarts.add(worker.id(), ref, context.now());
        resendOrStop(worker, held);
      }
      case NOT_SENT -> {
        worker.circuitBreaker().recordUnreachable(context.now());
        if (held.startsSent() == 1) {
          onStartRefused(worker, held, result);
        } else {
          resendOrStop(worker, held);
        }
      }
      case UNHEALTHY -> {
        worker.circuitBreaker().recordUnreachable(context.now());
        onStartRefused(worker, held, result);
      }
      default -> onStartRefused(worker, held, result);
    }
  }

  private void markJobStarted(Job job) {
    job.markStarted();
    job.stateStored(job.state() == JobState.RUNNING ? JobState.RUNNING : job.shownState());
  }

  /**
   * Takes in a refusal. It proves that nothing ran only if no other start was sent; else the
   * earlier one may have run, and even ended, so the run is stopped and the worker's list decides.
   */
  private void onStartRefused(TrackedWorker worker, TrackedRun held, OrderResult result) {
    boolean mayHaveRun =
        held.startsSent() > 1
            || held.startConfirmedAt().isPresent()
            || result == OrderResult.OLD_RUN;
    if (!mayHaveRun) {
      releaseRun(worker, held, "start refused: " + result);
    } else if (held.phase() == RunPhase.ORDERED) {
      stop(worker, held, "start refused after an earlier one: " + result);
    }
  }

  private void resendOrStop(TrackedWorker worker, TrackedRun held) {
    // Half of the gang window is left for stopping the other members, or for starting anew.
    Duration resendWithin = context.settings().gangWindow().dividedBy(2);
    boolean inTime = context.now().isBefore(held.placedAt().plus(resendWithin));
    if (held.phase() == RunPhase.ORDERED && held.startsSent() < MOST_STARTS && inTime) {
      sendStart(worker, held);
    } else if (held.phase() == RunPhase.ORDERED) {
      stop(worker, held, "start not answered");
    }
  }

  /** Stops a run, wherever it stands. */
  void stop(TrackedWorker worker, TrackedRun held, String reason) {
    if (held.phase() == RunPhase.STORING) {
      releaseRun(worker, held, reason);
      return;
    }
    if (held.phase() == RunPhase.STOPPING) {
      return;
    }
    context.logDecision("stop", held.id().task(), Map.of("run", held.id().run(), "reason", reason));
    sendStop(worker, held);
  }

  private void sendStop(TrackedWorker worker, TrackedRun held) {
    held.recordStopOrdered(context.now());
    worker.recordOrderSent(context.now());
    stopping.put(held, worker);
    context.emit(new SchedulerEffect.Stop(worker.description(), held.id()));
  }

  /** Takes in the answer to a stop. */
  void onStopAnswered(TrackedWorker worker, RunId ref, OrderResult result) {
    if (result == OrderResult.DONE || result == OrderResult.OLD_RUN) {
      worker.run(ref).ifPresent(held -> held.recordStopConfirmed(context.now()));
      worker.schedulePollBy(context.now());
    }
  }

  /** Sends stops again that were not answered, and forgets starts that can't arrive any more. */
  void resendStops() {
    lateStarts.removeExpired(context.now());
    Instant now = context.now();
    stopping.entrySet().removeIf(each -> !isStopUnconfirmed(each.getKey(), each.getValue()));
    List.copyOf(stopping.entrySet())
        .forEach(
            each -> {
              TrackedRun held = each.getKey();
              TrackedWorker worker = each.getValue();
              // Looks go on asking a silent worker; its stops are sent again once it answers one.
              boolean due =
                  now.isAfter(held.lastOrderAt().plus(STOP_RESEND)) && !worker.isSuspect(now);
              if (due && !worker.description().address().isEmpty()) {
                sendStop(worker, held);
              }
            });
  }

  private static boolean isStopUnconfirmed(TrackedRun held, TrackedWorker worker) {
    boolean current = worker.run(held.id()).filter(held::equals).isPresent();
    return current && held.stopConfirmedAt().isEmpty();
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
                      .ifPresent(held -> stop(worker, held, reason)));
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
    for (TrackedRun held : List.copyOf(worker.runs())) {
      if (!listed.contains(held.id()) && held.isGoneIfUnlisted(pollSentAt)) {
        releaseRun(worker, held, "not listed");
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
    RunId ref = end.run();
    worker.remove(ref);
    context.requestPlacement();
    Optional<Step> known = jobs.findStep(ref.task().step());
    if (known.isEmpty() || ref.task().index() >= known.get().tasks().size()) {
      return;
    }
    Step step = known.get();
    Task task = step.task(ref.task().index());
    boolean current =
        task.run() == ref.run() && task.worker().filter(worker.id()::equals).isPresent();
    if (end.end() == RunEnd.DONE && !step.definition().lasting()) {
      worker.circuitBreaker().recordSuccess();
      onRunDone(step, task, current);
    } else if (current) {
      onRunEnded(worker, step, task, end);
    }
  }

  private void onRunDone(Step step, Task task, boolean current) {
    Job job = step.job();
    if (job.isOver() || task.done()) {
      return;
    }
    if (!current) {
      stopStep(step, "an earlier run was done after all");
    }
    step.taskDone(task);
    updateAndStoreJob(job);
  }

  private void onRunEnded(
      TrackedWorker worker, Step step, Task task, WorkerRunReport.EndedRun end) {
    task.release();
    step.taskSaved(task, end.checkpoint());
    if (end.end() == RunEnd.FAILED) {
      step.taskFailed(task);
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
    boolean before = job.isOver();
    job.updateState(context.now());
    if (job.isOver() && !before) {
      context.logDecision("job over", job.id(), Map.of("state", job.state()));
      stopAllRuns(job, "job is over");
    }
    journal.addProgressed(job);
    JobState state = job.state();
    journal.afterStored(() -> job.stateStored(state));
    jobs.deactivateIfEnded(job);
  }

  private void applyRunning(TrackedWorker worker, WorkerRunReport.RunningRun running) {
    RunId ref = running.run();
    Optional<Step> step =
        jobs.findStep(ref.task().step()).filter(each -> ref.task().index() < each.tasks().size());
    // The runs of a job that is over are not stored any more.
    boolean later =
        step.filter(known -> !known.job().isOver())
            .filter(known -> known.task(ref.task().index()).run() < ref.run())
            .isPresent();
    if (later) {
      // Each run is stored before it is ordered, so another scheduler has read the journal since.
      context.emit(
          new SchedulerEffect.StepDown(
              "worker " + worker.id() + " runs " + ref + ", which was never assigned"));
      return;
    }
    if (worker.run(ref).isEmpty()) {
      TrackedRun stray =
          step.map(known -> TrackedRun.of(ref, known, RunPhase.RUNNING, context.now()))
              .orElseGet(
                  () ->
                      TrackedRun.ofUnknownStep(
                          ref, worker.description().capacity(), context.now()));
      worker.add(stray);
      stop(worker, stray, "nobody asks for it");
      return;
    }
    TrackedRun held = worker.run(ref).get();
    held.recordStartConfirmed(context.now());
    step.ifPresent(known -> applyProgress(worker, held, known, running.checkpoint()));
  }

  private void applyProgress(TrackedWorker worker, TrackedRun held, Step step, String checkpoint) {
    Task task = step.task(held.id().task().index());
    if (step.job().isOver() || task.run() != held.id().run()) {
      stop(worker, held, "job is over or the run is old");
      return;
    }
    step.taskSaved(task, checkpoint);
    markJobStarted(step.job());
  }

  /** Ends all runs of a worker whose incarnation or lease is over. */
  void releaseAllRuns(TrackedWorker worker, String reason) {
    for (TrackedRun held : List.copyOf(worker.runs())) {
      releaseRun(worker, held, reason);
    }
  }

  /**
   * Carries the runs of an earlier incarnation over to the next one, to be stopped there: an order
   * that was on its way may have reached either of them.
   */
  void onWorkerRestarted(TrackedWorker earlier, TrackedWorker next) {
    for (TrackedRun held : List.copyOf(earlier.runs())) {
      if (held.phase() == RunPhase.STORING || held.step().isEmpty()) {
        releaseRun(earlier, held, "worker started anew");
      } else {
        earlier.remove(held.id());
        stopPossibleRun(next, held.id(), held.step().get());
      }
    }
  }

  /** Makes an incarnation that was just learnt of refuse what earlier ones left unanswered. */
  void stopUnansweredStarts(TrackedWorker worker) {
    for (RunId ref : lateStarts.possiblyInFlight(worker.id(), context.now())) {
      if (worker.run(ref).isEmpty()) {
        jobs.findStep(ref.task().step()).ifPresent(step -> stopPossibleRun(worker, ref, step));
      }
    }
  }

  private void stopPossibleRun(TrackedWorker worker, RunId ref, Step step) {
    TrackedRun held = TrackedRun.of(ref, step, RunPhase.STOPPING, context.now());
    worker.add(held);
    sendStop(worker, held);
  }

  /** Ends the runs that were killed when the worker's lease lapsed. */
  void onLeaseExpired(TrackedWorker worker) {
    for (TrackedRun held : List.copyOf(worker.runs())) {
      if (held.phase().mayRun()) {
        releaseRun(worker, held, "lease lapsed");
      }
    }
  }

  /** Notes that a run is over without an end of its own. */
  private void releaseRun(TrackedWorker worker, TrackedRun held, String reason) {
    worker.remove(held.id());
    context.requestPlacement();
    if (held.step().isEmpty()) {
      return;
    }
    Step step = held.step().get();
    Task task = step.task(held.id().task().index());
    if (task.run() != held.id().run() || task.worker().isEmpty()) {
      return;
    }
    task.release();
    context.logDecision(
        "run over", task.id(), Map.of("run", task.run(), "reason", reason, "worker", worker.id()));
    jobs.deactivateIfEnded(step.job());
    if (step.definition().gang()) {
      stopStep(step, "another member is gone: " + reason);
    }
  }
}
