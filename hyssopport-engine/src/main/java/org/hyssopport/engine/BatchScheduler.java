package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.WorkerLedger.Allocation;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.engine.work.ProjectedJob;
import org.hyssopport.engine.work.StreamRecord.TaskClaim;
import org.hyssopport.engine.work.StreamRecord.TasksClaimed;
import org.hyssopport.engine.work.TaskStatus;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.Team;

/**
 * Claims waiting batch tasks for the workers whose leases this instance holds.
 *
 * <p>All members of the failure domain read the same waiting tasks. For each task the members with
 * free slots are ranked by rendezvous hashing, and a member claims the task only after those ranked
 * before it have had time to. If two members claim the same task nevertheless, the first claim in
 * the log wins.
 */
final class BatchScheduler {

  private static final Duration SCAN_INTERVAL = Duration.ofMillis(40);
  private static final Duration TAKE_OVER_STEP = Duration.ofMillis(300);
  private static final Duration PAUSE_AFTER_PEAK_LOAD = Duration.ofSeconds(1);
  private static final Duration PREEMPTION_INTERVAL = Duration.ofMillis(100);
  private static final int MAXIMUM_SCANNED_TASKS = 400;
  private static final int MAXIMUM_CLAIMS_IN_FLIGHT = 512;
  private static final int MAXIMUM_STOPPING_ATTEMPTS = 64;

  private final EngineContext context;
  private final FollowedStreams streams;
  private final StreamOwnershipManager streamOwnership;
  private final Membership membership;
  private final WorkerPool pool;
  private final OpenAttemptIndex openAttempts;
  private final AttemptManager attemptManager;
  private final AppendTracker tracker;
  private final RequestDispatcher dispatcher;
  private final Set<AttemptId> claimsInFlight = new HashSet<>();
  private final Map<AttemptId, Instant> firstSeen = new HashMap<>();
  private final Map<String, Resources> claimedByTeam = new HashMap<>();
  private Instant nextScan = Instant.EPOCH;
  private Instant nextPreemption = Instant.EPOCH;
  private Instant pausedUntil = Instant.EPOCH;

  BatchScheduler(
      EngineContext context,
      FollowedStreams streams,
      StreamOwnershipManager streamOwnership,
      Membership membership,
      WorkerPool pool,
      OpenAttemptIndex openAttempts,
      AttemptManager attemptManager,
      AppendTracker tracker,
      RequestDispatcher dispatcher) {
    this.context = context;
    this.streams = streams;
    this.streamOwnership = streamOwnership;
    this.membership = membership;
    this.pool = pool;
    this.openAttempts = openAttempts;
    this.attemptManager = attemptManager;
    this.tracker = tracker;
    this.dispatcher = dispatcher;
  }

  void tick() {
    preemptIfNeeded();
    if (context.now().isBefore(nextScan)) {
      return;
    }
    nextScan = context.now().plus(SCAN_INTERVAL);
    if (!isPaused()) {
      claimWaiting();
    }
  }

  /**
   * Returns whether batch and gang tasks must not be placed now: while draining, without a
   * configuration, and for {@link #PAUSE_AFTER_PEAK_LOAD} after short requests waited longer than
   * the preemption delay.
   */
  boolean isPaused() {
    return context.isDraining()
        || context.configuration().isEmpty()
        || context.now().isBefore(pausedUntil);
  }

  private void preemptIfNeeded() {
    if (!context.settings().policies().queueing().preempts()
        || context.now().isBefore(nextPreemption)) {
      return;
    }
    boolean peakLoad =
        dispatcher
            .firstShortRequestWait()
            .map(wait -> wait.compareTo(context.settings().preemptionDelay()) > 0)
            .orElse(false);
    if (!peakLoad) {
      return;
    }
    nextPreemption = context.now().plus(PREEMPTION_INTERVAL);
    pausedUntil = context.now().plus(PAUSE_AFTER_PEAK_LOAD);
    int attemptsToPreempt =
        Math.min(dispatcher.waitingCount(), MAXIMUM_STOPPING_ATTEMPTS)
            - attemptManager.stoppingCount();
    if (attemptsToPreempt > 0) {
      attemptManager.preempt(attemptsToPreempt);
    }
  }

  private void claimWaiting() {
    int scanned = 0;
    for (BatchJob batchJob : unfinishedBatchJobs()) {
      for (int task = 0; task < batchJob.job().taskCount(); task++) {
        if (batchJob.job().task(task).phase() != TaskStatus.Phase.WAITING) {
          continue;
        }
        scanned++;
        boolean mayContinue = claimIfOwnTurn(batchJob, task);
        boolean enough =
            scanned >= MAXIMUM_SCANNED_TASKS || claimsInFlight.size() >= MAXIMUM_CLAIMS_IN_FLIGHT;
        if (enough || !mayContinue) {
          break;
        }
      }
      if (scanned >= MAXIMUM_SCANNED_TASKS || claimsInFlight.size() >= MAXIMUM_CLAIMS_IN_FLIGHT) {
        break;
      }
    }
    if (firstSeen.size() > MAXIMUM_SCANNED_TASKS * 4) {
      firstSeen.clear();
    }
  }

  private List<BatchJob> unfinishedBatchJobs() {
    List<BatchJob> batchJobs = new ArrayList<>();
    for (int index = 0; index < streams.count(); index++) {
      if (!streamOwnership.isOwned(index) || !streams.workStream(index).isInitialized()) {
        continue;
      }
      for (ProjectedJob job : streams.projection(index).unfinishedJobs()) {
        if (!job.spec().kind().startsTogether() && !job.isCancelled()) {
          batchJobs.add(new BatchJob(index, job));
        }
      }
    }
    batchJobs.sort(Comparator.comparing(each -> each.job().spec().deadline()));
    return batchJobs;
  }

  /**
   * Claims the task if it is this instance's turn; returns false if no task of the job can be
   * claimed now, for lack of quota or of a worker.
   */
  private boolean claimIfOwnTurn(BatchJob batchJob, int task) {
    int attempt = batchJob.job().task(task).attempt() + 1;
    AttemptId id = OpenAttempt.idOf(batchJob.job().spec().id(), task, attempt);
    if (claimsInFlight.contains(id)) {
      return true;
    }
    Instant seen = firstSeen.computeIfAbsent(id, key -> context.now());
    long elapsedSteps = Duration.between(seen, context.now()).dividedBy(TAKE_OVER_STEP);
    if (rankAmongFreeMembers(id) > elapsedSteps) {
      return true;
    }
    if (!isWithinQuota(batchJob.job())) {
      return false;
    }
    Optional<PooledWorker> worker =
        pool.chooseForTask(batchJob.job().spec().resources(), candidate -> true);
    worker.ifPresent(chosen -> claim(batchJob, task, id, chosen));
    return worker.isPresent();
  }

  private int rankAmongFreeMembers(AttemptId id) {
    List<String> candidates = new ArrayList<>();
    for (String member : membership.members(context.failureDomain())) {
      boolean self = member.equals(context.self().name());
      boolean free =
          membership
              .reachablePeerNamed(member)
              .map(peer -> peer.freeSlots(Lane.LONG) > 0)
              .orElse(false);
      if (self || free) {
        candidates.add(member);
      }
    }
    return RendezvousHashing.rank(id.toString(), candidates, context.self().name());
  }

  boolean isWithinQuota(ProjectedJob job) {
    Optional<Team> team =
        context
            .configuration()
            .flatMap(configuration -> configuration.teamNamed(job.spec().team()));
    if (team.isEmpty()) {
      return true;
    }
    int tasks = job.spec().kind().startsTogether() ? job.taskCount() : 1;
    Resources usedAfterClaim =
        openAttempts
            .usedBy(job.spec().team())
            .plus(claimedByTeam.getOrDefault(job.spec().team(), Resources.NONE))
            .plus(job.spec().resources().times(tasks));
    return usedAfterClaim.fitsIn(shareOf(team.get().quota()));
  }

  /** Returns the share of a quota that each failure domain may use, rounded up. */
  private Resources shareOf(Resources quota) {
    long domains = context.allDomains().size();
    return new Resources(
        ceilingShare(quota.milliProcessors(), domains),
        ceilingShare(quota.memoryMebibytes(), domains),
        ceilingShare(quota.accelerators(), domains));
  }

  private static long ceilingShare(long whole, long parts) {
    return (whole + parts - 1) / parts;
  }

  private void claim(BatchJob batchJob, int task, AttemptId id, PooledWorker worker) {
    Instant notAfter = context.now().plus(context.settings().startWindow());
    Instant horizon = context.now().plus(context.settings().horizonLength());
    Placement placement =
        new Placement(
            worker.id(), worker.bootId(), context.self(), worker.token(), notAfter, horizon);
    Resources resources = batchJob.job().spec().resources();
    String team = batchJob.job().spec().team();
    pool.allocate(worker, id, Allocation.reserved(resources, notAfter));
    claimsInFlight.add(id);
    firstSeen.remove(id);
    claimedByTeam.merge(team, resources, Resources::plus);
    TasksClaimed record =
        new TasksClaimed(
            batchJob.job().spec().id(),
            streams.projection(batchJob.stream()).epoch(),
            List.of(new TaskClaim(task, id.number(), placement)));
    ClaimListener listener = new ClaimListener(id, worker, team, resources);
    tracker.append(streams.name(batchJob.stream()), record, notAfter, listener);
  }

  boolean isIdle() {
    return claimsInFlight.isEmpty();
  }

  /**
   * An unfinished batch job and its work stream.
   *
   * @param stream the index of the stream
   * @param job the job
   */
  private record BatchJob(int stream, ProjectedJob job) {}

  /**
   * Handles the result of a claim's append. The reservation of a rejected claim is released; that
   * of an unconfirmed claim expires.
   */
  private final class ClaimListener implements AppendTracker.Listener {

    private final AttemptId id;
    private final PooledWorker worker;
    private final String team;
    private final Resources resources;

    private ClaimListener(AttemptId id, PooledWorker worker, String team, Resources resources) {
      this.id = id;
      this.worker = worker;
      this.team = team;
      this.resources = resources;
    }

    @Override
    public void onApplied(boolean valid) {
      removeFromInFlight();
      if (!valid) {
        context.recordTimelineEvent(
            TimelineKind.CLAIM_REJECTED,
            id,
            "the claim came too late in the log: task claimed, job cancelled or owner changed");
        releaseReservation();
      }
    }

    @Override
    public void onRefused() {
      removeFromInFlight();
      releaseReservation();
    }

    @Override
    public void onExpired() {
      removeFromInFlight();
    }

    private void removeFromInFlight() {
      claimsInFlight.remove(id);
      claimedByTeam.merge(team, resources, Resources::minus);
    }

    private void releaseReservation() {
      boolean reserved =
          worker
              .ledger()
              .allocation(id)
              .map(allocation -> allocation.stage() == Allocation.Stage.RESERVED)
              .orElse(false);
      if (reserved) {
        pool.release(worker, id);
      }
    }
  }
}
