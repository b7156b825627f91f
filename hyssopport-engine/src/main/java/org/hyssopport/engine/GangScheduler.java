package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.PeerMessage.ReservationCancelled;
import org.hyssopport.engine.PeerMessage.ReserveTasks;
import org.hyssopport.engine.PeerMessage.TasksReserved;
import org.hyssopport.engine.WorkerLedger.Allocation;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.engine.work.ProjectedJob;
import org.hyssopport.engine.work.StreamRecord.TaskClaim;
import org.hyssopport.engine.work.StreamRecord.TasksClaimed;
import org.hyssopport.engine.work.TaskStatus;

/**
 * Reserves capacity for all tasks of a gang and claims them with one log record.
 *
 * <p>A member tries a gang only after the members ranked before it by rendezvous hashing have had
 * time to, and it reserves capacity for one gang at a time. It asks the members of its failure
 * domain for reservations on the workers that they hold, one member after the other in the order of
 * their names, which is the same for every gang. If the capacity does not suffice, all reservations
 * are cancelled and the gang is tried again after a delay that grows up to a maximum. No task of
 * the gang starts after the reservations expire, so all of its tasks start within the length of one
 * reservation.
 */
final class GangScheduler {

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(400);
  private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(10);
  private static final Duration TAKE_OVER_STEP = Duration.ofSeconds(4);
  private static final Duration SCAN_INTERVAL = Duration.ofMillis(50);
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(600);

  private final EngineContext context;
  private final FollowedStreams streams;
  private final StreamOwnershipManager streamOwnership;
  private final Membership membership;
  private final WorkerPool pool;
  private final AppendTracker tracker;
  private final BatchScheduler batchScheduler;
  private final Map<AttemptId, GangBackoff> backoffs = new HashMap<>();
  private Optional<GangReservation> activeReservation = Optional.empty();
  private Instant nextScan = Instant.EPOCH;

  GangScheduler(
      EngineContext context,
      FollowedStreams streams,
      StreamOwnershipManager streamOwnership,
      Membership membership,
      WorkerPool pool,
      AppendTracker tracker,
      BatchScheduler batchScheduler) {
    this.context = context;
    this.streams = streams;
    this.streamOwnership = streamOwnership;
    this.membership = membership;
    this.pool = pool;
    this.tracker = tracker;
    this.batchScheduler = batchScheduler;
  }

  void tick() {
    if (context.now().isBefore(nextScan)) {
      return;
    }
    nextScan = context.now().plus(SCAN_INTERVAL);
    if (activeReservation.isPresent()) {
      continueReservation(activeReservation.get());
    } else if (!batchScheduler.isPaused()) {
      startDueGang();
    }
  }

  private void startDueGang() {
    for (int index = 0; index < streams.count(); index++) {
      if (streamOwnership.isOwned(index) && streams.workStream(index).isInitialized()) {
        Optional<ProjectedJob> oldest = oldestDueGang(index);
        if (oldest.isPresent()) {
          startReservation(index, oldest.get());
          return;
        }
      }
    }
  }

  private Optional<ProjectedJob> oldestDueGang(int index) {
    return streams.projection(index).unfinishedJobs().stream()
        .filter(job -> job.spec().kind().startsTogether() && !job.isCancelled())
        .filter(job -> job.count(TaskStatus.Phase.WAITING) == job.taskCount())
        .filter(this::isDue)
        .filter(batchScheduler::isWithinQuota)
        .min(Comparator.comparing(ProjectedJob::acceptedAt));
  }

  private boolean isDue(ProjectedJob job) {
    AttemptId id = gangId(job);
    GangBackoff backoff =
        backoffs.computeIfAbsent(id, key -> new GangBackoff(context.now(), context.now(), 0));
    int rank = membership.rank(id.toString());
    boolean ownTurn =
        !context.now().isBefore(backoff.firstSeen().plus(TAKE_OVER_STEP.multipliedBy(rank)));
    return ownTurn && !context.now().isBefore(backoff.nextTry());
  }

  private static AttemptId gangId(ProjectedJob job) {
    return new AttemptId(job.spec().id(), job.task(0).attempt() + 1);
  }

  private void startReservation(int index, ProjectedJob job) {
    List<String> holders = new ArrayList<>(membership.members(context.failureDomain()));
    Instant deadline = context.now().plus(context.settings().reservationLength());
    activeReservation =
        Optional.of(new GangReservation(index, job, gangId(job), holders, deadline));
    requestNext(activeReservation.get());
  }

  private void continueReservation(GangReservation reservation) {
    if (reservation.claimed) {
      return;
    }
    boolean late = context.now().isAfter(reservation.deadline.minus(ANSWER_TIMEOUT));
    boolean obsolete =
        reservation.job.isCancelled()
            || !gangId(reservation.job).equals(reservation.id)
            || batchScheduler.isPaused();
    if (late || obsolete) {
      cancelReservation(reservation);
    } else if (!context.now().isBefore(reservation.nextRequestAt)) {
      requestNext(reservation);
    }
  }

  private void requestNext(GangReservation reservation) {
    while (reservation.missingCount() > 0 && !reservation.remainingHolders.isEmpty()) {
      String holder = reservation.remainingHolders.remove(0);
      if (holder.equals(context.self().name())) {
        ReserveTasks request = reservation.request();
        reservation.placements.addAll(reserve(request));
      } else {
        Optional<Membership.Peer> peer = membership.reachablePeerNamed(holder);
        if (peer.isPresent()) {
          reservation.contactedHolders.add(peer.get().id().orElseThrow());
          reservation.nextRequestAt = context.now().plus(ANSWER_TIMEOUT);
          send(peer.get(), reservation.request());
          return;
        }
      }
    }
    if (reservation.missingCount() == 0) {
      claim(reservation);
    } else {
      cancelReservation(reservation);
    }
  }

  private void send(Membership.Peer peer, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(
            peer.address(), new PeerMessage.Envelope(context.self(), peer.id(), message)));
  }

  /** Reserves capacity on the workers held here for as many of the requested tasks as fit. */
  private List<Placement> reserve(ReserveTasks request) {
    List<Placement> placements = new ArrayList<>();
    Instant horizon = context.now().plus(context.settings().horizonLength());
    while (placements.size() < request.count()) {
      Optional<PooledWorker> chosen = pool.chooseForTask(request.resources(), worker -> true);
      if (chosen.isEmpty()) {
        return placements;
      }
      PooledWorker worker = chosen.get();
      AttemptId reservationId = reservationId(request.job(), request.attempt(), placements.size());
      pool.allocate(
          worker, reservationId, Allocation.reserved(request.resources(), request.deadline()));
      placements.add(
          new Placement(
              worker.id(),
              worker.bootId(),
              context.self(),
              worker.token(),
              request.deadline(),
              horizon));
    }
    return placements;
  }

  /** Returns the id under which capacity is reserved until a claim assigns it to a task. */
  private AttemptId reservationId(String job, int attempt, int number) {
    return new AttemptId(job + "/hold-" + number, attempt);
  }

  /** Handles a peer's request to reserve capacity for a gang. */
  void onReserveTasks(EntryId sender, ReserveTasks request) {
    List<Placement> placements = batchScheduler.isPaused() ? List.of() : reserve(request);
    membership
        .reachablePeer(sender)
        .ifPresent(
            peer -> send(peer, new TasksReserved(request.job(), request.attempt(), placements)));
  }

  /** Handles the reservations of a peer, and cancels them if none are expected from it. */
  void onTasksReserved(EntryId sender, TasksReserved answer) {
    AttemptId id = new AttemptId(answer.job(), answer.attempt());
    boolean expected =
        activeReservation
            .filter(reservation -> reservation.id.equals(id) && !reservation.claimed)
            .filter(reservation -> reservation.contactedHolders.contains(sender))
            .isPresent();
    if (!expected) {
      cancelAt(sender, id);
      return;
    }
    GangReservation reservation = activeReservation.get();
    boolean alreadyReserved =
        reservation.placements.stream().anyMatch(placement -> placement.holder().equals(sender));
    if (!alreadyReserved) {
      reservation.placements.addAll(answer.placements());
      requestNext(reservation);
    }
  }

  private void cancelAt(EntryId holder, AttemptId id) {
    membership
        .reachablePeer(holder)
        .ifPresent(peer -> send(peer, new ReservationCancelled(id.task(), id.number())));
  }

  /** Releases the capacity that is reserved here for a gang. */
  void onReservationCancelled(ReservationCancelled cancel) {
    releaseReservations(cancel.job(), cancel.attempt());
  }

  private void releaseReservations(String job, int attempt) {
    String prefix = job + "/hold-";
    for (PooledWorker worker : pool.workers()) {
      for (AttemptId id : worker.ledger().attemptsInStage(Allocation.Stage.RESERVED)) {
        if (id.task().startsWith(prefix) && id.number() == attempt) {
          pool.release(worker, id);
        }
      }
    }
  }

  private void cancelReservation(GangReservation reservation) {
    releaseReservations(reservation.id.task(), reservation.id.number());
    reservation.contactedHolders.forEach(holder -> cancelAt(holder, reservation.id));
    backOff(reservation.id);
    activeReservation = Optional.empty();
  }

  private void backOff(AttemptId id) {
    GangBackoff backoff =
        backoffs.getOrDefault(id, new GangBackoff(context.now(), context.now(), 0));
    Duration delay = FIRST_BACKOFF.multipliedBy(1L << Math.min(backoff.failures(), 5));
    Duration bounded = delay.compareTo(MAXIMUM_BACKOFF) < 0 ? delay : MAXIMUM_BACKOFF;
    backoffs.put(
        id,
        new GangBackoff(backoff.firstSeen(), context.now().plus(bounded), backoff.failures() + 1));
  }

  private void claim(GangReservation reservation) {
    List<TaskClaim> claims = new ArrayList<>();
    for (int task = 0; task < reservation.job.taskCount(); task++) {
      claims.add(new TaskClaim(task, reservation.id.number(), reservation.placements.get(task)));
    }
    reservation.claimed = true;
    long epoch = streams.projection(reservation.stream).epoch();
    tracker.append(
        streams.name(reservation.stream),
        new TasksClaimed(reservation.id.task(), epoch, claims),
        reservation.deadline,
        new GangClaimListener(reservation));
  }

  /**
   * Converts the reservations for a gang into reservations for its claimed tasks. Every holder
   * calls this before it starts the claimed tasks.
   */
  void onTasksClaimed(TasksClaimed record) {
    Optional<ProjectedJob> job = streams.job(record.job());
    if (job.isEmpty() || !job.get().spec().kind().startsTogether()) {
      return;
    }
    for (TaskClaim claim : record.claims()) {
      Placement placement = claim.placement();
      if (placement.holder().equals(context.self())) {
        pool.worker(placement.worker())
            .filter(worker -> worker.token() == placement.token())
            .ifPresent(worker -> convertReservation(worker, record.job(), claim));
      }
    }
    backoffs.remove(new AttemptId(record.job(), record.claims().get(0).attempt()));
  }

  private void convertReservation(PooledWorker worker, String job, TaskClaim claim) {
    String prefix = job + "/hold-";
    Optional<AttemptId> reservationId =
        worker.ledger().attemptsInStage(Allocation.Stage.RESERVED).stream()
            .filter(id -> id.task().startsWith(prefix) && id.number() == claim.attempt())
            .findFirst();
    reservationId.ifPresent(
        id -> {
          Allocation allocation = worker.ledger().allocation(id).orElseThrow();
          pool.release(worker, id);
          pool.allocate(worker, OpenAttempt.idOf(job, claim.task(), claim.attempt()), allocation);
        });
  }

  boolean isIdle() {
    return activeReservation.isEmpty();
  }

  /** The reservations for one gang until its claim is decided. */
  private static final class GangReservation {

    private final int stream;
    private final ProjectedJob job;
    private final AttemptId id;
    private final List<String> remainingHolders;
    private final Instant deadline;
    private final List<Placement> placements = new ArrayList<>();
    private final List<EntryId> contactedHolders = new ArrayList<>();
    private Instant nextRequestAt = Instant.EPOCH;
    private boolean claimed;

    private GangReservation(
        int stream,
        ProjectedJob job,
        AttemptId id,
        List<String> remainingHolders,
        Instant deadline) {
      this.stream = stream;
      this.job = job;
      this.id = id;
      this.remainingHolders = remainingHolders;
      this.deadline = deadline;
    }

    private int missingCount() {
      return job.taskCount() - placements.size();
    }

    private ReserveTasks request() {
      return new ReserveTasks(
          id.task(), id.number(), job.spec().resources(), missingCount(), deadline);
    }
  }

  /** Ends the reservation of a gang once its claim is applied, refused or not read back in time. */
  private final class GangClaimListener implements AppendTracker.Listener {

    private final GangReservation reservation;

    private GangClaimListener(GangReservation reservation) {
      this.reservation = reservation;
    }

    @Override
    public void onApplied(boolean valid) {
      if (valid) {
        activeReservation = Optional.empty();
      } else {
        cancelReservation(reservation);
      }
    }

    @Override
    public void onRefused() {
      cancelReservation(reservation);
    }

    @Override
    public void onExpired() {
      cancelReservation(reservation);
    }
  }

  /**
   * When a gang was first seen and when it is tried again.
   *
   * @param firstSeen when this instance first saw the gang waiting
   * @param nextTry when to try again
   * @param failures how many reservations of the gang were cancelled
   */
  private record GangBackoff(Instant firstSeen, Instant nextTry, int failures) {}
}
