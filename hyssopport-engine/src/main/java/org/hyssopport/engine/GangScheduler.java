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
 * Reserves room for all tasks of a gang and claims them with one record.
 *
 * <p>One member drives a gang at a time. It asks the holders one after the other in the order of
 * their names, which is the same for every gang. If the room does not suffice, everything is given
 * back and the gang waits a growing while. Reservations lapse by themselves, and no task of the
 * gang starts after that, so that all its tasks start within one reservation's length.
 */
final class GangScheduler {

  private static final Duration FIRST_BACKOFF = Duration.ofMillis(400);
  private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(10);
  private static final Duration TAKE_OVER_STEP = Duration.ofSeconds(4);
  private static final Duration SCAN_INTERVAL = Duration.ofMillis(50);
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(600);

  private final EngineContext context;
  private final FollowedStreams streams;
  private final StreamOwnershipManager owners;
  private final Membership membership;
  private final WorkerPool pool;
  private final AppendTracker tracker;
  private final BatchScheduler batch;
  private final Map<AttemptId, GangBackoff> waits = new HashMap<>();
  private Optional<GangReservation> drive = Optional.empty();
  private Instant nextScan = Instant.EPOCH;

  GangScheduler(
      EngineContext context,
      FollowedStreams streams,
      StreamOwnershipManager owners,
      Membership membership,
      WorkerPool pool,
      AppendTracker tracker,
      BatchScheduler batch) {
    this.context = context;
    this.streams = streams;
    this.owners = owners;
    this.membership = membership;
    this.pool = pool;
    this.tracker = tracker;
    this.batch = batch;
  }

  void tick() {
    if (context.now().isBefore(nextScan)) {
      return;
    }
    nextScan = context.now().plus(SCAN_INTERVAL);
    if (drive.isPresent()) {
      continueDrive(drive.get());
    } else if (!batch.isPaused()) {
      startOldest();
    }
  }

  private void startOldest() {
    for (int index = 0; index < streams.count(); index++) {
      if (owners.isOwned(index) && streams.work(index).isInitialized()) {
        Optional<ProjectedJob> oldest = oldestDueGang(index);
        if (oldest.isPresent()) {
          start(index, oldest.get());
          return;
        }
      }
    }
  }

  private Optional<ProjectedJob> oldestDueGang(int index) {
    return streams.fold(index).unfinishedJobs().stream()
        .filter(job -> job.spec().kind().startsTogether() && !job.isCancelled())
        .filter(job -> job.count(TaskStatus.Phase.WAITING) == job.taskCount())
        .filter(this::isDue)
        .filter(batch::isWithinQuota)
        .min(Comparator.comparing(ProjectedJob::acceptedAt));
  }

  private boolean isDue(ProjectedJob job) {
    AttemptId id = gangId(job);
    GangBackoff wait =
        waits.computeIfAbsent(id, key -> new GangBackoff(context.now(), context.now(), 0));
    int rank = membership.rank(id.toString());
    boolean turn = !context.now().isBefore(wait.since().plus(TAKE_OVER_STEP.multipliedBy(rank)));
    return turn && !context.now().isBefore(wait.nextTry());
  }

  private static AttemptId gangId(ProjectedJob job) {
    return new AttemptId(job.spec().id(), job.task(0).attempt() + 1);
  }

  private void start(int index, ProjectedJob job) {
    List<String> holders = new ArrayList<>(membership.members(context.failureDomain()));
    Instant deadline = context.now().plus(context.settings().reservationLength());
    drive = Optional.of(new GangReservation(index, job, gangId(job), holders, deadline));
    askNext(drive.get());
  }

  private void continueDrive(GangReservation current) {
    if (current.claimed) {
      return;
    }
    boolean late = context.now().isAfter(current.deadline.minus(ANSWER_TIMEOUT));
    boolean gone =
        current.job.isCancelled() || !gangId(current.job).equals(current.id) || batch.isPaused();
    if (late || gone) {
      giveBack(current);
    } else if (!context.now().isBefore(current.askAgainAt)) {
      askNext(current);
    }
  }

  private void askNext(GangReservation current) {
    while (current.missing() > 0 && !current.holders.isEmpty()) {
      String holder = current.holders.remove(0);
      if (holder.equals(context.self().name())) {
        ReserveTasks ask = current.ask();
        current.placements.addAll(reserve(ask));
      } else {
        Optional<Membership.Peer> peer = membership.reachablePeerNamed(holder);
        if (peer.isPresent()) {
          current.asked.add(peer.get().id().orElseThrow());
          current.askAgainAt = context.now().plus(ANSWER_TIMEOUT);
          send(peer.get(), current.ask());
          return;
        }
      }
    }
    if (current.missing() == 0) {
      claim(current);
    } else {
      giveBack(current);
    }
  }

  private void send(Membership.Peer peer, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(
            peer.address(), new PeerMessage.Envelope(context.self(), peer.id(), message)));
  }

  /** Holds room on the workers here for as many of the asked tasks as fit. */
  private List<Placement> reserve(ReserveTasks ask) {
    List<Placement> placements = new ArrayList<>();
    Instant horizon = context.now().plus(context.settings().horizonLength());
    while (placements.size() < ask.count()) {
      Optional<PooledWorker> chosen = pool.chooseForTask(ask.resources(), worker -> true);
      if (chosen.isEmpty()) {
        return placements;
      }
      PooledWorker worker = chosen.get();
      AttemptId hold = holdId(ask.job(), ask.attempt(), placements.size());
      pool.allocate(worker, hold, Allocation.reserved(ask.resources(), ask.deadline()));
      placements.add(
          new Placement(
              worker.id(),
              worker.bootId(),
              context.self(),
              worker.token(),
              ask.deadline(),
              horizon));
    }
    return placements;
  }

  private AttemptId holdId(String job, int attempt, int number) {
    return new AttemptId(job + "/hold-" + number, attempt);
  }

  /** Takes a peer's ask to hold room for a gang. */
  void asked(EntryId sender, ReserveTasks ask) {
    List<Placement> placements = batch.isPaused() ? List.of() : reserve(ask);
    membership
        .reachablePeer(sender)
        .ifPresent(peer -> send(peer, new TasksReserved(ask.job(), ask.attempt(), placements)));
  }

  /** Takes a peer's answer to an ask. */
  void reserved(EntryId sender, TasksReserved answer) {
    AttemptId id = new AttemptId(answer.job(), answer.attempt());
    boolean expected =
        drive
            .filter(current -> current.id.equals(id) && !current.claimed)
            .filter(current -> current.asked.contains(sender))
            .isPresent();
    if (!expected) {
      cancelAt(sender, id);
      return;
    }
    GangReservation current = drive.get();
    boolean already =
        current.placements.stream().anyMatch(placement -> placement.holder().equals(sender));
    if (!already) {
      current.placements.addAll(answer.placements());
      askNext(current);
    }
  }

  private void cancelAt(EntryId holder, AttemptId id) {
    membership
        .reachablePeer(holder)
        .ifPresent(peer -> send(peer, new ReservationCancelled(id.task(), id.number())));
  }

  /** Gives back the room that is held here for a gang. */
  void cancelled(ReservationCancelled cancel) {
    releaseHolds(cancel.job(), cancel.attempt());
  }

  private void releaseHolds(String job, int attempt) {
    String prefix = job + "/hold-";
    for (PooledWorker worker : pool.workers()) {
      for (AttemptId id : worker.ledger().attemptsInStage(Allocation.Stage.RESERVED)) {
        if (id.task().startsWith(prefix) && id.number() == attempt) {
          pool.release(worker, id);
        }
      }
    }
  }

  private void giveBack(GangReservation current) {
    releaseHolds(current.id.task(), current.id.number());
    current.asked.forEach(holder -> cancelAt(holder, current.id));
    backOff(current.id);
    drive = Optional.empty();
  }

  private void backOff(AttemptId id) {
    GangBackoff wait = waits.getOrDefault(id, new GangBackoff(context.now(), context.now(), 0));
    Duration delay = FIRST_BACKOFF.multipliedBy(1L << Math.min(wait.failures(), 5));
    Duration bounded = delay.compareTo(MAXIMUM_BACKOFF) < 0 ? delay : MAXIMUM_BACKOFF;
    waits.put(id, new GangBackoff(wait.since(), context.now().plus(bounded), wait.failures() + 1));
  }

  private void claim(GangReservation current) {
    List<TaskClaim> claims = new ArrayList<>();
    for (int task = 0; task < current.job.taskCount(); task++) {
      claims.add(new TaskClaim(task, current.id.number(), current.placements.get(task)));
    }
    current.claimed = true;
    long epoch = streams.fold(current.stream).epoch();
    tracker.append(
        streams.name(current.stream),
        new TasksClaimed(current.id.task(), epoch, claims),
        current.deadline,
        new GangClaimListener(current));
  }

  /**
   * Turns the holds for a gang into reservations for its claimed tasks; called on every holder
   * before the claimed tasks are started.
   */
  void claimed(TasksClaimed record) {
    Optional<ProjectedJob> job = streams.job(record.job());
    if (job.isEmpty() || !job.get().spec().kind().startsTogether()) {
      return;
    }
    for (TaskClaim claim : record.claims()) {
      Placement placement = claim.placement();
      if (placement.holder().equals(context.self())) {
        pool.worker(placement.worker())
            .filter(worker -> worker.token() == placement.token())
            .ifPresent(worker -> convertHold(worker, record.job(), claim));
      }
    }
    waits.remove(new AttemptId(record.job(), record.claims().get(0).attempt()));
  }

  private void convertHold(PooledWorker worker, String job, TaskClaim claim) {
    String prefix = job + "/hold-";
    Optional<AttemptId> hold =
        worker.ledger().attemptsInStage(Allocation.Stage.RESERVED).stream()
            .filter(id -> id.task().startsWith(prefix) && id.number() == claim.attempt())
            .findFirst();
    hold.ifPresent(
        id -> {
          Allocation held = worker.ledger().allocation(id).orElseThrow();
          pool.release(worker, id);
          pool.allocate(worker, OpenAttempt.idOf(job, claim.task(), claim.attempt()), held);
        });
  }

  boolean isIdle() {
    return drive.isEmpty();
  }

  /** The reservation of one gang while it is under way. */
  private static final class GangReservation {

    private final int stream;
    private final ProjectedJob job;
    private final AttemptId id;
    private final List<String> holders;
    private final Instant deadline;
    private final List<Placement> placements = new ArrayList<>();
    private final List<EntryId> asked = new ArrayList<>();
    private Instant askAgainAt = Instant.EPOCH;
    private boolean claimed;

    private GangReservation(
        int stream, ProjectedJob job, AttemptId id, List<String> holders, Instant deadline) {
      this.stream = stream;
      this.job = job;
      this.id = id;
      this.holders = holders;
      this.deadline = deadline;
    }

    private int missing() {
      return job.taskCount() - placements.size();
    }

    private ReserveTasks ask() {
      return new ReserveTasks(id.task(), id.number(), job.spec().resources(), missing(), deadline);
    }
  }

  /** Ends the drive once the log has decided. */
  private final class GangClaimListener implements AppendTracker.Listener {

    private final GangReservation current;

    private GangClaimListener(GangReservation current) {
      this.current = current;
    }

    @Override
    public void onApplied(boolean valid) {
      if (valid) {
        drive = Optional.empty();
      } else {
        giveBack(current);
      }
    }

    @Override
    public void onRefused() {
      giveBack(current);
    }

    @Override
    public void onExpired() {
      giveBack(current);
    }
  }

  /**
   * How long a gang has waited here.
   *
   * @param since when it was first seen waiting
   * @param nextTry when to try again
   * @param failures how often the room did not suffice
   */
  private record GangBackoff(Instant since, Instant nextTry, int failures) {}
}
