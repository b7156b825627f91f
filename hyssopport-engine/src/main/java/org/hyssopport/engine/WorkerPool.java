package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hyssopport.engine.WorkerLedger.Allocation;
import org.hyssopport.engine.platform.AttemptDigest;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.AttemptPhase;
import org.hyssopport.engine.platform.AttemptView;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerCall.AcquireLease;
import org.hyssopport.engine.platform.WorkerCall.ReadReport;
import org.hyssopport.engine.platform.WorkerCall.ReleaseLease;
import org.hyssopport.engine.platform.WorkerCall.RenewLease;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.platform.WorkerTaskReport;
import org.hyssopport.policy.Resources;

/**
 * Manages the workers of this failure domain and the leases on them.
 *
 * <p>Every worker has a preferred member of the domain. A member tries to acquire the leases of its
 * preferred workers at once, and those of other workers only after their preferred member had time
 * to. A member that is no longer preferred releases the lease after a delay.
 */
final class WorkerPool {

  private static final Duration RETRY_DELAY = Duration.ofMillis(500);
  private static final Duration MAXIMUM_RETRY_DELAY = Duration.ofSeconds(5);
  private static final Duration TAKE_OVER_STEP = Duration.ofSeconds(2);
  private static final Duration HAND_OVER_DELAY = Duration.ofSeconds(3);
  private static final Duration SETTLING_REPORT_INTERVAL = Duration.ofMillis(100);
  private static final Duration SCAN_INTERVAL = Duration.ofMillis(25);
  private static final int MAXIMUM_CANDIDATES = 3;

  private final EngineContext context;
  private final Membership membership;
  private final WorkerIndex index = new WorkerIndex();
  private final List<WorkerObserver> observers = new ArrayList<>();
  private Set<String> assignedMembers = Set.of();
  private Set<String> assignedWorkers = Set.of();
  private Instant nextScan = Instant.EPOCH;

  WorkerPool(EngineContext context, Membership membership) {
    this.context = context;
    this.membership = membership;
  }

  void addObserver(WorkerObserver observer) {
    observers.add(observer);
  }

  Collection<PooledWorker> workers() {
    return index.workers();
  }

  Optional<PooledWorker> worker(WorkerId id) {
    return index.worker(id);
  }

  /** Returns the worker if its lease is held here and a report as new as the grant was read. */
  Optional<PooledWorker> activeWorker(WorkerId id) {
    return index.worker(id).filter(worker -> worker.state() == LeaseState.ACTIVE);
  }

  void tick() {
    if (context.now().isBefore(nextScan)) {
      return;
    }
    nextScan = context.now().plus(SCAN_INTERVAL);
    reassignPreferredMembers();
    for (PooledWorker worker : List.copyOf(index.workers())) {
      advanceLease(worker);
    }
  }

  /**
   * Adds and updates the workers of this failure domain on the live list. Removes those that are no
   * longer listed and whose lease this instance does not hold.
   */
  void updateWorkers() {
    List<LiveInstance> listed = membership.workers();
    for (LiveInstance instance : listed) {
      Optional<PooledWorker> existingWorker = index.worker(new WorkerId(instance.name()));
      existingWorker.ifPresentOrElse(
          worker -> worker.setInstance(instance), () -> index.update(new PooledWorker(instance)));
    }
    Set<String> names = listed.stream().map(LiveInstance::name).collect(Collectors.toSet());
    for (PooledWorker worker : List.copyOf(index.workers())) {
      if (!names.contains(worker.id().name()) && worker.state() == LeaseState.UNHELD) {
        index.remove(worker.id());
      }
    }
  }

  private void reassignPreferredMembers() {
    SortedSet<String> members = membership.members(context.failureDomain());
    Set<String> workers = new TreeSet<>();
    index.workers().forEach(worker -> workers.add(worker.id().name()));
    if (members.equals(assignedMembers) && workers.equals(assignedWorkers)) {
      return;
    }
    assignedMembers = members;
    assignedWorkers = workers;
    Map<String, String> preferredMembers = RendezvousHashing.assignEvenly(workers, members);
    for (PooledWorker worker : index.workers()) {
      String preferred = preferredMembers.getOrDefault(worker.id().name(), "");
      worker.setPreferredMember(preferred, context.now());
      if (worker.state() == LeaseState.UNHELD) {
        worker.scheduleLeaseCallAt(firstAcquireAt(worker));
      }
    }
  }

  private boolean isPreferred(PooledWorker worker) {
    return worker.preferredMember().equals(context.self().name());
  }

  private Instant firstAcquireAt(PooledWorker worker) {
    if (isPreferred(worker)) {
      return context.now();
    }
    int rank = 1 + membership.rank(worker.id().name());
    return context.now().plus(context.settings().leaseLength()).plus(takeOverDelay(rank));
  }

  private static Duration takeOverDelay(int rank) {
    return TAKE_OVER_STEP.multipliedBy(rank);
  }

  private void advanceLease(PooledWorker worker) {
    if (worker.state().isHeld() && !context.now().isBefore(worker.leaseDeadline())) {
      markLeaseLost(worker, "lease expired");
    }
    switch (worker.state()) {
      case UNHELD -> acquireIfDue(worker);
      case SETTLING -> {
        renewIfDue(worker);
        readReportIfDue(worker, SETTLING_REPORT_INTERVAL);
      }
      case ACTIVE -> advanceActiveLease(worker);
      case ASKING, RELEASING -> {}
      default -> throw new IllegalStateException("unexpected lease state: " + worker.state());
    }
  }

  private void advanceActiveLease(PooledWorker worker) {
    for (AttemptId expired : worker.ledger().releaseExpired(context.now())) {
      index.update(worker);
      context.recordTimelineEvent(TimelineKind.CLAIM_REJECTED, expired, "the reservation expired");
    }
    if (shouldHandOver(worker)) {
      releaseLease(worker);
      return;
    }
    renewIfDue(worker);
    if (!worker.ledger().attemptsInStage(Allocation.Stage.REPORTED).isEmpty()) {
      readReportIfDue(worker, RETRY_DELAY);
    }
  }

  private void acquireIfDue(PooledWorker worker) {
    boolean candidate =
        isPreferred(worker) || membership.rank(worker.id().name()) < MAXIMUM_CANDIDATES;
    boolean due = !context.now().isBefore(worker.nextLeaseCall());
    if (context.isDraining() || worker.isLeaseCallInFlight() || !candidate || !due) {
      return;
    }
    worker.startAcquiring(context.now());
    Instant deadline = context.now().plus(context.settings().leaseLength());
    call(worker, new AcquireLease(context.self(), deadline));
  }

  private void renewIfDue(PooledWorker worker) {
    if (worker.isLeaseCallInFlight() || context.now().isBefore(worker.nextLeaseCall())) {
      return;
    }
    worker.recordLeaseCallStarted(context.now());
    Instant deadline = context.now().plus(context.settings().leaseLength());
    long digest = AttemptDigest.of(worker.ledger().runningKept());
    List<WorkerCall.Extension> extensions = new ArrayList<>();
    worker
        .extensions()
        .forEach((attempt, horizon) -> extensions.add(new WorkerCall.Extension(attempt, horizon)));
    call(worker, new RenewLease(worker.token(), deadline, digest, extensions));
  }

  private void readReportIfDue(PooledWorker worker, Duration interval) {
    if (worker.isReportDue(context.now())) {
      worker.recordReportStarted(context.now().plus(interval));
      call(worker, new ReadReport());
    }
  }

  private boolean shouldHandOver(PooledWorker worker) {
    boolean otherPreferred =
        !worker.preferredMember().isEmpty()
            && !isPreferred(worker)
            && membership.reachablePeerNamed(worker.preferredMember()).isPresent();
    boolean longEnough = !context.now().isBefore(worker.preferredSince().plus(HAND_OVER_DELAY));
    return otherPreferred && longEnough && mayRelease(worker);
  }

  private boolean mayRelease(PooledWorker worker) {
    boolean nothingPending =
        worker.ledger().attemptsInStage(Allocation.Stage.RESERVED).isEmpty()
            && worker.ledger().attemptsInStage(Allocation.Stage.SENT).isEmpty();
    return worker.state() == LeaseState.ACTIVE && !worker.isLeaseCallInFlight() && nothingPending;
  }

  /** Releases every lease under which no start is pending; used while draining. */
  void releaseIdleLeases() {
    for (PooledWorker worker : List.copyOf(index.workers())) {
      if (mayRelease(worker)) {
        releaseLease(worker);
      } else if (worker.state() == LeaseState.SETTLING && !worker.isLeaseCallInFlight()) {
        releaseLease(worker);
      }
    }
  }

  boolean hasOpenLeases() {
    return index.workers().stream().anyMatch(worker -> worker.state() != LeaseState.UNHELD);
  }

  private void releaseLease(PooledWorker worker) {
    worker.startReleasing(context.now());
    call(worker, new ReleaseLease(worker.token()));
  }

  private void call(PooledWorker worker, WorkerCall call) {
    context.emit(new Effect.CallWorker(worker.id(), worker.instance().address(), call));
  }

  /** Applies the reply to a call about the lease or the report of a worker. */
  void onWorkerReply(WorkerId id, WorkerCall call, WorkerReply reply) {
    Optional<PooledWorker> existingWorker = index.worker(id);
    if (existingWorker.isEmpty()) {
      return;
    }
    PooledWorker worker = existingWorker.get();
    if (call instanceof AcquireLease acquire) {
      worker.recordLeaseCallEnded();
      onAcquireReply(worker, acquire, reply);
    } else if (call instanceof RenewLease renew) {
      worker.recordLeaseCallEnded();
      onRenewReply(worker, renew, reply);
    } else if (call instanceof ReleaseLease) {
      worker.recordLeaseCallEnded();
      onReleaseReply(worker, reply);
    } else if (call instanceof ReadReport) {
      worker.recordReportEnded();
      if (reply instanceof WorkerReply.ReportRead reported) {
        applyReport(worker, reported.report());
      }
    }
  }

  private void onAcquireReply(PooledWorker worker, AcquireLease call, WorkerReply reply) {
    if (reply instanceof WorkerReply.LeaseGranted granted) {
      Instant deadline = earlier(granted.deadline(), call.deadline());
      checkClock(worker, granted.instant());
      worker.recordGrant(granted.token(), deadline, granted.instant(), granted.bootId());
      worker.scheduleLeaseCallAt(context.now().plus(context.settings().renewalInterval()));
      context.recordTimelineEvent(
          TimelineKind.LEASE_GRANTED, worker.id(), "token " + granted.token());
      readReportIfDue(worker, SETTLING_REPORT_INTERVAL);
      return;
    }
    if (reply instanceof WorkerReply.LeaseHeld held) {
      worker.setOtherHolder(held.holder());
      worker.markUnheld(nextAcquireWhenHeld(worker, held));
      return;
    }
    worker.markUnheld(context.now().plus(RETRY_DELAY));
  }

  private Instant nextAcquireWhenHeld(PooledWorker worker, WorkerReply.LeaseHeld held) {
    if (isPreferred(worker)) {
      return context.now().plus(context.settings().renewalInterval());
    }
    Duration extraDelay =
        membership.reachablePeer(held.holder()).isPresent() ? takeOverDelay(5) : Duration.ZERO;
    int rank = 1 + membership.rank(worker.id().name());
    Instant base = held.deadline().isAfter(context.now()) ? held.deadline() : context.now();
    return earlier(base, context.now().plus(MAXIMUM_RETRY_DELAY))
        .plus(takeOverDelay(rank))
        .plus(extraDelay);
  }

  private void onRenewReply(PooledWorker worker, RenewLease call, WorkerReply reply) {
    if (!worker.state().isHeld() || call.token() != worker.token()) {
      return;
    }
    if (reply instanceof WorkerReply.LeaseRenewed renewed) {
      checkClock(worker, renewed.instant());
      worker.recordRenewal(earlier(renewed.deadline(), call.deadline()));
      worker.scheduleLeaseCallAt(
          worker.leaseCallSentAt().plus(context.settings().renewalInterval()));
      worker.recordLeaving(renewed.leaving());
      call.extensions().forEach(each -> worker.extensions().remove(each.attempt(), each.horizon()));
      renewed.tasks().ifPresent(views -> applyViews(worker, views));
      return;
    }
    if (reply instanceof WorkerReply.Refused) {
      markLeaseLost(worker, "superseded");
      return;
    }
    worker.scheduleLeaseCallAt(context.now().plus(RETRY_DELAY.dividedBy(2)));
  }

  private void onReleaseReply(PooledWorker worker, WorkerReply reply) {
    boolean done = !(reply instanceof WorkerReply.NoUsableReply);
    context.recordTimelineEvent(
        TimelineKind.LEASE_RELEASED,
        worker.id(),
        done ? "released" : "no usable reply; the lease expires at its deadline");
    String preferred = worker.preferredMember();
    markLeaseLost(worker, "released");
    worker.scheduleLeaseCallAt(context.now().plus(MAXIMUM_RETRY_DELAY));
    membership
        .reachablePeerNamed(preferred)
        .ifPresent(peer -> send(peer, new PeerMessage.WorkerReleased(worker.id())));
  }

  private void send(Membership.Peer peer, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(
            peer.address(), new PeerMessage.Envelope(context.self(), peer.id(), message)));
  }

  /** Acquires a worker at once if a peer released it and this instance is preferred for it. */
  void onReleasedByPeer(WorkerId id) {
    index
        .worker(id)
        .filter(worker -> worker.state() == LeaseState.UNHELD && isPreferred(worker))
        .ifPresent(worker -> worker.scheduleLeaseCallAt(context.now()));
  }

  private void markLeaseLost(PooledWorker worker, String why) {
    if (worker.state().isHeld()) {
      context.recordTimelineEvent(TimelineKind.LEASE_LOST, worker.id(), why);
    }
    worker.markUnheld(context.now().plus(RETRY_DELAY));
    index.update(worker);
    observers.forEach(observer -> observer.onLeaseLost(worker));
  }

  private void checkClock(PooledWorker worker, Instant workerInstant) {
    Duration bound = context.settings().clockBound();
    boolean behind = workerInstant.isBefore(worker.leaseCallSentAt().minus(bound));
    boolean ahead = workerInstant.isAfter(context.now().plus(bound));
    boolean suspect = behind || ahead;
    if (suspect && !worker.isClockSuspect()) {
      Duration difference = Duration.between(context.now(), workerInstant);
      context.recordTimelineEvent(TimelineKind.CLOCK_SUSPECT, worker.id(), difference);
    }
    worker.setClockSuspect(suspect);
  }

  private void applyReport(PooledWorker worker, WorkerTaskReport report) {
    boolean sameBoot = report.bootId().equals(worker.bootId());
    if (!worker.state().isHeld() || !sameBoot || !worker.recordReportIfNewer(report.instant())) {
      return;
    }
    worker.recordLeaving(report.leaving());
    if (worker.state() == LeaseState.SETTLING) {
      if (report.instant().isBefore(worker.grantedAt())) {
        return;
      }
      worker.activate();
      context.recordTimelineEvent(
          TimelineKind.WORKER_READY, worker.id(), report.tasks().size() + " attempts");
    }
    applyViews(worker, report.tasks());
    Set<AttemptId> running =
        report.tasks().stream()
            .filter(view -> view.phase() == AttemptPhase.RUNNING)
            .map(AttemptView::attempt)
            .collect(Collectors.toSet());
    for (AttemptId attempt : worker.ledger().attemptsInStage(Allocation.Stage.REPORTED)) {
      if (!running.contains(attempt)) {
        release(worker, attempt);
      }
    }
  }

  private void applyViews(PooledWorker worker, List<AttemptView> views) {
    for (AttemptView view : views) {
      boolean allocated = worker.ledger().allocation(view.attempt()).isPresent();
      if (view.phase() == AttemptPhase.RUNNING && !allocated) {
        Allocation allocation = Allocation.reported(view.resources(), view.kept());
        worker.ledger().allocate(view.attempt(), allocation);
      } else if (view.phase() != AttemptPhase.RUNNING && allocated && view.kept()) {
        worker.ledger().release(view.attempt());
      }
    }
    index.update(worker);
    if (worker.state() == LeaseState.ACTIVE) {
      observers.forEach(observer -> observer.onAttemptsReported(worker, views));
    }
  }

  /** Returns the allowed worker with the most free slots that can take a request of a lane. */
  Optional<PooledWorker> chooseForRequest(
      Resources resources, Lane lane, Predicate<PooledWorker> allowed) {
    return index.workerWithMostFreeSlots(
        worker -> canPlace(worker, resources, lane) && allowed.test(worker));
  }

  /** Returns the allowed worker that the packing policy chooses for a kept task, if any. */
  Optional<PooledWorker> chooseForTask(Resources resources, Predicate<PooledWorker> allowed) {
    return context
        .settings()
        .policies()
        .packing()
        .choose(
            index,
            resources,
            worker -> canPlace(worker, resources, Lane.LONG) && allowed.test(worker));
  }

  private boolean canPlace(PooledWorker worker, Resources resources, Lane lane) {
    return worker.mayPlace(context.now(), context.settings())
        && worker.ledger().fits(resources, lane.reservedSlots(context.settings()));
  }

  void allocate(PooledWorker worker, AttemptId attempt, Allocation allocation) {
    worker.ledger().allocate(attempt, allocation);
    index.update(worker);
  }

  void release(PooledWorker worker, AttemptId attempt) {
    worker.ledger().release(attempt);
    index.update(worker);
  }

  /** Returns how many more requests of a lane the held workers could start now. */
  int freeSlots(Lane lane) {
    int free = 0;
    int reservedSlots = lane.reservedSlots(context.settings());
    for (PooledWorker worker : index.workers()) {
      if (worker.mayPlace(context.now(), context.settings())) {
        free += Math.max(0, worker.ledger().freeSlots() - reservedSlots);
      }
    }
    return free;
  }

  private static Instant earlier(Instant first, Instant second) {
    return first.isBefore(second) ? first : second;
  }
}
