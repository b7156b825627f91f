package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerRunReport;

/** Decides when to look at each worker, and what its silence means. */
final class WorkerPoller {

  /**
   * How long a look waits for an end; half of what the platform allows, as a lost one hides ends.
   */
  private static final int MAXIMUM_WAIT_MILLIS = 1000;

  /** How often a worker without runs is looked at, to keep its clock known within 0.1 s. */
  private static final Duration IDLE_INTERVAL = Duration.ofSeconds(5);

  /** The pause after a look that got no answer. */
  private static final Duration UNANSWERED_PAUSE = Duration.ofMillis(300);

  /** The pause while ends wait to be stored: each look would list them again at once. */
  private static final Duration STORING_PAUSE = Duration.ofMillis(250);

  private final SchedulerContext context;
  private final TrackedWorkerRegistry workers;
  private final RunManager runManager;

  WorkerPoller(SchedulerContext context, TrackedWorkerRegistry workers, RunManager runManager) {
    this.context = context;
    this.workers = workers;
    this.runManager = runManager;
  }

  /** Sends the looks that are due. */
  void sendDuePolls(boolean mayExtendLeases) {
    for (TrackedWorker worker : workers.all()) {
      boolean due =
          !worker.pollInFlight()
              && !worker.description().address().isEmpty()
              && !context.now().isBefore(worker.nextPollAt());
      if (due) {
        sendPoll(worker, mayExtendLeases);
      }
    }
  }

  private void sendPoll(TrackedWorker worker, boolean mayExtendLeases) {
    boolean busy = !worker.runs().isEmpty();
    // A silent worker is only looked at: each lease that it may have got delays its lapse.
    boolean extend =
        busy && mayExtendLeases && worker.reportReceived() && worker.unansweredPolls() == 0;
    Optional<Long> lease =
        extend ? worker.leaseUntil(context.settings().lease(), context.now()) : Optional.empty();
    lease.ifPresent(worker::recordLeaseGranted);
    boolean waits = extend && !worker.hasUnstoredEnds();
    worker.recordPollSent(context.now().plus(IDLE_INTERVAL));
    context.emit(
        new SchedulerEffect.Poll(
            worker.description(),
            lease,
            worker.storedEndNumber(),
            waits ? MAXIMUM_WAIT_MILLIS : 0));
  }

  /** Takes in the answer to a look. */
  void onPollAnswered(SchedulerEvent.WorkerPolled polled) {
    Optional<TrackedWorker> found = workers.find(polled.worker(), polled.incarnation());
    if (found.isEmpty()) {
      return;
    }
    TrackedWorker worker = found.get();
    Instant now = context.now();
    PollResult result = polled.result();
    if (result instanceof PollResult.Fenced) {
      context.emit(new SchedulerEffect.StepDown("worker " + worker.id() + " refused our term"));
    } else if (result instanceof PollResult.OtherIncarnation) {
      runManager.releaseAllRuns(worker, "another incarnation answers");
      worker.markUnlisted();
      worker.recordPollUnanswered(now.plus(IDLE_INTERVAL));
    } else if (result instanceof PollResult.Reported reported) {
      applyReport(worker, reported.report(), polled);
    } else {
      worker.recordPollUnanswered(worker.unansweredPolls() == 0 ? now : now.plus(UNANSWERED_PAUSE));
      if (worker.unansweredPolls() == 1) {
        context.logDecision(
            "worker silent", "", Map.of("worker", worker.id(), "runs", worker.runs().size()));
      }
    }
  }

  private void applyReport(
      TrackedWorker worker, WorkerRunReport report, SchedulerEvent.WorkerPolled polled) {
    if (report.incarnation() != polled.incarnation()) {
      TrackedWorker restarted =
          TrackedWorker.withoutReport(
              worker.description().restartedAs(report.incarnation()), worker.leaseExpiresAt());
      workers.put(restarted);
      runManager.onWorkerRestarted(worker, restarted);
      runManager.stopUnansweredStarts(restarted);
      return;
    }
    boolean firstReport = !worker.reportReceived();
    worker.recordPollAnswered(polled.acknowledgedUpTo());
    runManager.applyReport(worker, report, polled.sentAt());
    boolean busy = !worker.runs().isEmpty();
    if (worker.hasUnstoredEnds()) {
      worker.schedulePollBy(context.now().plus(STORING_PAUSE));
    } else if (busy || firstReport || worker.hasEndsToAcknowledge()) {
      worker.schedulePollBy(context.now());
    }
  }

  /** Ends the runs of workers whose lease has surely lapsed. */
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
