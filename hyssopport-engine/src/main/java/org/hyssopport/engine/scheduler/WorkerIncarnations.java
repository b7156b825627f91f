package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.engine.worker.WorkerRunReport;

/**
 * Keeps track of which incarnation of each worker runs, and replaces the tracked one once a later
 * one is known.
 *
 * <p>A worker may restart under its id and address, so that calls meant for one incarnation reach a
 * later one, which knows nothing of the earlier one. What belongs to one incarnation (its end
 * numbers, its clock and the leases that end by it, the polls and orders sent to it) is kept in its
 * {@link TrackedWorker} and ends with it; its runs are stopped on the later one.
 */
final class WorkerIncarnations {

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final RunManager runManager;
  private final UnansweredStarts unansweredStarts = new UnansweredStarts();

  WorkerIncarnations(
      SchedulerContext context,
      JobRegistry jobs,
      TrackedWorkerRegistry workers,
      RunManager runManager) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
    this.runManager = runManager;
  }

  /**
   * Applies the current live list.
   *
   * @param descriptions all workers on the list
   * @param lapsed the workers whose entries expired while the store was away
   */
  void applyLiveList(List<WorkerDescription> descriptions, Set<WorkerId> lapsed) {
    Set<WorkerId> listedIds = new HashSet<>();
    for (WorkerDescription description : descriptions) {
      listedIds.add(description.id());
      update(description);
    }
    for (TrackedWorker worker : List.copyOf(workers.all())) {
      if (listedIds.contains(worker.id())) {
        continue;
      }
      if (lapsed.contains(worker.id())) {
        worker.markLapsed();
        worker.schedulePollBy(context.now());
      } else {
        worker.markUnlisted();
        if (worker.runs().isEmpty() && !worker.hasUnstoredEnds()) {
          workers.remove(worker.id());
        }
      }
    }
  }

  /** Applies an entry of the live list, which may be of a newer or an older incarnation. */
  void update(WorkerDescription description) {
    Optional<TrackedWorker> found = workers.find(description.id());
    if (found.isEmpty()) {
      TrackedWorker worker =
          TrackedWorker.withoutReport(description, context.inheritedLeaseUntil());
      workers.put(worker);
      stopUnansweredStarts(worker);
      return;
    }
    // A lower number is of an entry that predates the tracked incarnation.
    int comparison =
        Long.compare(description.incarnation(), found.get().description().incarnation());
    if (comparison == 0) {
      found.get().updateDescription(description);
    } else if (comparison > 0) {
      replace(found.get(), description);
    }
  }

  /**
   * Replaces the tracked incarnation of a worker by a later one that has not reported yet.
   *
   * <p>Orders and polls that were meant for the earlier incarnation may have reached the later one.
   * Their leases end by the clock of the earlier one, so the later one holds its runs for as long
   * as a worker may.
   */
  void replace(TrackedWorker earlier, WorkerDescription later) {
    logRestart(earlier, Map.of("incarnation", later.incarnation()));
    TrackedWorker restarted = TrackedWorker.withoutReport(later, earlier.leaseExpiresAt());
    boolean inheritsRuns =
        earlier.runs().stream().anyMatch(run -> run.phase() == RunPhase.INHERITED);
    restarted.extendInheritedLease(
        inheritsRuns
            ? context.inheritedLeaseOfLaterIncarnationUntil()
            : context.leaseOfLaterIncarnationUntil());
    workers.put(restarted);
    transferRuns(earlier, restarted);
    stopUnansweredStarts(restarted);
  }

  /**
   * Transfers the runs of the earlier incarnation to the later one and stops them there, since a
   * start order in flight during the restart may have reached either incarnation.
   */
  private void transferRuns(TrackedWorker earlier, TrackedWorker restarted) {
    for (TrackedRun trackedRun : List.copyOf(earlier.runs())) {
      if (trackedRun.phase() == RunPhase.STORING || trackedRun.step().isEmpty()) {
        runManager.releaseRun(earlier, trackedRun, "worker restarted");
      } else {
        earlier.remove(trackedRun.id());
        runManager.stopPossibleRun(restarted, trackedRun.id(), trackedRun.step().get());
      }
    }
  }

  /**
   * Stops, on an incarnation that was just discovered, the runs whose start orders got no answer
   * from earlier ones, so that the worker refuses a start order that arrives late.
   */
  private void stopUnansweredStarts(TrackedWorker worker) {
    for (RunId runId : unansweredStarts.possiblyInFlight(worker.id(), context.now())) {
      if (worker.run(runId).isEmpty()) {
        jobs.findStep(runId.task().step())
            .ifPresent(step -> runManager.stopPossibleRun(worker, runId, step));
      }
    }
  }

  /** Remembers a start order without an answer, which may still reach a later incarnation. */
  void recordUnansweredStart(WorkerId worker, RunId run) {
    unansweredStarts.add(worker, run, context.now());
  }

  /** Forgets unanswered start orders that can no longer arrive. */
  void tick() {
    unansweredStarts.removeExpired(context.now());
  }

  /** Records an answer to an order, which may have come from a later incarnation. */
  void recordOrderAnswer(TrackedWorker worker, RunId run, Optional<Long> clockMillis) {
    worker.recordAnswer();
    Optional<Long> clockWhenOrdered = worker.run(run).flatMap(TrackedRun::workerClockWhenOrdered);
    if (clockMillis.isEmpty() || clockWhenOrdered.isEmpty()) {
      worker.recordDoubtfulIncarnation(context.now());
    } else if (clockMillis.get() < clockWhenOrdered.get()) {
      markReplaced(worker, "clock ran back in the answer to an order");
      worker.schedulePollBy(context.now());
    }
  }

  /**
   * Returns whether a report that states no other incarnation comes from a later one all the same;
   * the live list will state its number.
   */
  boolean detectReplacement(TrackedWorker worker, WorkerRunReport report, Instant requestedAt) {
    boolean replaced = worker.showsReplacement(report, requestedAt);
    if (replaced) {
      markReplaced(worker, "clock ran back in a report");
    }
    return replaced;
  }

  private void markReplaced(TrackedWorker worker, String reason) {
    if (!worker.isReplaced()) {
      logRestart(worker, Map.of("reason", reason));
    }
    worker.markReplaced(context.now());
  }

  private void logRestart(TrackedWorker earlier, Map<String, Object> evidence) {
    Map<String, Object> inputs = new HashMap<>(evidence);
    inputs.put("worker", earlier.id());
    inputs.put("earlier", earlier.description().incarnation());
    inputs.put("runs", earlier.runs().size());
    inputs.put("storedEnds", earlier.storedEndNumber());
    context.logDecision("worker restarted", "", inputs);
  }
}
