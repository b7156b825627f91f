package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerRunReport;

/** Decides when to poll each worker, and expires the leases of workers that stay silent. */
final class WorkerPoller {

  /** Half of the 2 s that the platform allows: a lost answer hides run ends until the next poll. */
  private static final int MAXIMUM_WAIT_MILLIS = 1000;

  /** Applies while a start without a ticket is unanswered: it is resent only after a report. */
  private static final int WAIT_MILLIS_FOR_START = 250;

  /** Polls at this interval keep the clock of a worker without runs known to within 0.1 s. */
  private static final Duration IDLE_INTERVAL = Duration.ofSeconds(5);

  /**
   * The pause after the second and each further consecutive unanswered poll; the first is repeated
   * at once.
   */
  private static final Duration UNANSWERED_PAUSE = Duration.ofMillis(300);

  /**
   * Applies while run ends wait to be stored or may not be acknowledged: each poll would return
   * them again at once.
   */
  private static final Duration STORING_PAUSE = Duration.ofMillis(250);

  private final SchedulerContext context;
  private final TrackedWorkerRegistry workers;
  private final RunManager runManager;
  private final WorkerIncarnations incarnations;

  WorkerPoller(
      SchedulerContext context,
      TrackedWorkerRegistry workers,
      RunManager runManager,
      WorkerIncarnations incarnations) {
    this.context = context;
    this.workers = workers;
    this.runManager = runManager;
    this.incarnations = incarnations;
  }

  /** Polls the workers whose next poll is due. */
  void sendDuePolls() {
    for (TrackedWorker worker : workers.all()) {
      boolean due =
          !worker.pollInFlight()
              && !worker.description().address().isEmpty()
              && !context.now().isBefore(worker.nextPollAt());
      if (due) {
        sendPoll(worker);
      }
    }
  }

  private void sendPoll(TrackedWorker worker) {
    boolean busy = !worker.runs().isEmpty();
    // A silent worker is polled without a lease: each lease that may have reached it delays the
    // expiry after which its tasks can run elsewhere.
    boolean extend =
        busy
            && context.mayGrantLeases()
            && worker.reportReceived()
            && !worker.isReplaced()
            && worker.unansweredPolls() == 0;
    Optional<Long> lease =
        extend ? worker.leaseUntil(context.settings().lease(), context.now()) : Optional.empty();
    lease.ifPresent(worker::recordLeaseGranted);
    boolean mayWait = extend && !worker.hasUnstoredEnds();
    worker.recordPollSent(context.now().plus(IDLE_INTERVAL));
    context.emit(
        new SchedulerEffect.Poll(
            worker.description(),
            lease,
            worker.endNumberToAcknowledge(),
            mayWait ? longestWaitMillis(worker) : 0));
  }

  private static int longestWaitMillis(TrackedWorker worker) {
    int waitMillis = MAXIMUM_WAIT_MILLIS;
    for (TrackedRun trackedRun : worker.runs()) {
      if (trackedRun.reportNeededSince().isPresent()) {
        return 0;
      }
      if (trackedRun.phase() == RunPhase.ORDERED && trackedRun.ticket().isEmpty()) {
        waitMillis = WAIT_MILLIS_FOR_START;
      }
    }
    return waitMillis;
  }

  /** Handles the result of a poll. */
  void onPollResult(SchedulerEvent.WorkerPolled polled) {
    Optional<TrackedWorker> found = workers.find(polled.worker(), polled.incarnation());
    if (found.isEmpty()) {
      return;
    }
    TrackedWorker worker = found.get();
    Instant now = context.now();
    PollResult result = polled.result();
    if (result instanceof PollResult.Fenced) {
      context.emit(
          new SchedulerEffect.StepDown(
              "worker "
                  + worker.id()
                  + " refused a poll of this term: it has accepted a newer term"));
    } else if (result instanceof PollResult.OtherIncarnation) {
      runManager.releaseAllRuns(worker, "another incarnation of the worker answered");
      worker.markUnlisted();
      worker.recordPollUnanswered(now, now.plus(IDLE_INTERVAL));
    } else if (result instanceof PollResult.Reported reported) {
      applyReport(worker, reported.report(), polled);
    } else {
      worker.recordPollUnanswered(
          now, worker.unansweredPolls() == 0 ? now : now.plus(UNANSWERED_PAUSE));
      if (worker.unansweredPolls() == 1) {
        context.logDecision(
            "worker silent", "", Map.of("worker", worker.id(), "runs", worker.runs().size()));
      }
    }
  }

  private void applyReport(
      TrackedWorker worker, WorkerRunReport report, SchedulerEvent.WorkerPolled polled) {
    if (report.incarnation() != polled.incarnation()) {
      incarnations.replace(worker, worker.description().restartedAs(report.incarnation()));
      return;
    }
    if (incarnations.detectReplacement(worker, report, polled.sentAt())) {
      worker.recordPollUnanswered(context.now(), context.now().plus(UNANSWERED_PAUSE));
      return;
    }
    boolean firstReport = !worker.reportReceived();
    worker.recordPollAnswered(polled.acknowledgedUpTo());
    runManager.applyReport(worker, report, polled.sentAt());
    boolean busy = !worker.runs().isEmpty();
    boolean answersAtOnce =
        worker.hasUnstoredEnds() || (worker.hasEndsToAcknowledge() && !worker.mayAcknowledgeEnds());
    if (answersAtOnce) {
      worker.schedulePollBy(context.now().plus(STORING_PAUSE));
    } else if (busy || firstReport || worker.hasEndsToAcknowledge()) {
      worker.schedulePollBy(context.now());
    }
  }

  /**
   * Releases the runs of workers whose lease has certainly expired; drops unlisted idle workers.
   */
  void expireLeases() {
    for (TrackedWorker worker : List.copyOf(workers.all())) {
      if (!worker.runs().isEmpty() && context.now().isAfter(worker.leaseExpiresAt())) {
        runManager.onLeaseExpired(worker);
      }
      boolean removable = !worker.listed() && worker.runs().isEmpty() && !worker.pollInFlight();
      if (removable) {
        workers.remove(worker.id());
      }
    }
  }
}
