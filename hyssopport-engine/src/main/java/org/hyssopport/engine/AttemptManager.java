package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.LocalAttempt.Phase;
import org.hyssopport.engine.WorkerLedger.Allocation;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.AttemptResult;
import org.hyssopport.engine.platform.AttemptView;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerCall.ReadTask;
import org.hyssopport.engine.platform.WorkerCall.StartTask;
import org.hyssopport.engine.platform.WorkerCall.StopTask;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.work.CloseCause;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.engine.work.StreamFollower.AppliedRecord;
import org.hyssopport.engine.work.StreamRecord.HorizonExtended;
import org.hyssopport.engine.work.StreamRecord.TaskClosed;
import org.hyssopport.engine.work.StreamRecord.TasksClaimed;

/**
 * Starts, adopts, extends, stops and closes the open attempts at job tasks on the workers whose
 * leases this instance holds. {@link RequestDispatcher} handles the attempts of requests.
 *
 * <p>An attempt is started only by the holder that claimed it, under the lease token in its claim
 * and before its not-after deadline. Any other open attempt on a held worker is looked up on the
 * worker: it is adopted if it runs, and closed if it ended or if the worker can no longer accept
 * its start.
 */
final class AttemptManager implements WorkerObserver {

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);
  private static final Duration APPEND_RETRY_INTERVAL = Duration.ofSeconds(2);
  private static final Duration STOP_BEFORE_HORIZON = Duration.ofSeconds(2);

  /**
   * How long workers are relied on to keep the record of an ended attempt. After that, a reply that
   * the attempt was never seen does not prove that it did not run.
   */
  private static final Duration WORKER_RECORD_RETENTION = Duration.ofMinutes(9);

  private final EngineContext context;
  private final FollowedStreams streams;
  private final WorkerPool pool;
  private final OpenAttemptIndex openAttempts;
  private final OutlierEjection ejection;
  private final Membership membership;
  private final Map<AttemptId, LocalAttempt> localAttempts = new LinkedHashMap<>();
  private final Map<AttemptId, Instant> nextCloseOfExpired = new HashMap<>();
  private Instant nextScan = Instant.EPOCH;

  AttemptManager(
      EngineContext context,
      FollowedStreams streams,
      WorkerPool pool,
      OpenAttemptIndex openAttempts,
      OutlierEjection ejection,
      Membership membership) {
    this.context = context;
    this.streams = streams;
    this.pool = pool;
    this.openAttempts = openAttempts;
    this.ejection = ejection;
    this.membership = membership;
  }

  /**
   * Applies valid records: starts or adopts claimed attempts, removes closed ones and adds extended
   * horizons to the next renewal of the worker's lease.
   */
  void onRecordsApplied(List<AppliedRecord> records) {
    for (AppliedRecord applied : records) {
      if (!applied.valid()) {
        continue;
      }
      if (applied.record() instanceof TasksClaimed claim) {
        openAttempts.addClaimed(claim);
        claim.claims().forEach(task -> startOrAdopt(claim.job(), task.task(), task.attempt()));
      } else if (applied.record() instanceof TaskClosed closed) {
        onTaskClosed(
            OpenAttempt.idOf(closed.job(), closed.task(), closed.attempt()), closed.cause());
      } else if (applied.record() instanceof HorizonExtended extended) {
        onHorizonExtended(extended);
      }
    }
  }

  private void startOrAdopt(String job, int task, int attempt) {
    openAttempts.find(OpenAttempt.idOf(job, task, attempt)).ifPresent(this::startOrAdopt);
  }

  private void onTaskClosed(AttemptId id, CloseCause cause) {
    openAttempts.remove(id);
    nextCloseOfExpired.remove(id);
    if (localAttempts.remove(id) != null) {
      context.recordTimelineEvent(TimelineKind.ATTEMPT_CLOSED, id, cause);
    }
  }

  private void onHorizonExtended(HorizonExtended extended) {
    AttemptId id = OpenAttempt.idOf(extended.job(), extended.task(), extended.attempt());
    LocalAttempt attempt = localAttempts.get(id);
    if (attempt != null && attempt.phase() == Phase.RUNNING) {
      pool.activeWorker(attempt.worker())
          .ifPresent(
              worker -> worker.addExtension(new WorkerCall.Extension(id, extended.horizon())));
    }
  }

  @Override
  public void onAttemptsReported(PooledWorker worker, List<AttemptView> views) {
    for (AttemptView view : views) {
      LocalAttempt attempt = localAttempts.get(view.attempt());
      if (attempt != null && isAwaitingEnd(attempt)) {
        view.result().ifPresent(result -> onAttemptEnded(worker, attempt, result));
      }
    }
    for (OpenAttempt openAttempt : openAttempts.attemptsOn(worker.id())) {
      if (!localAttempts.containsKey(openAttempt.id())) {
        startOrAdopt(openAttempt);
      }
    }
  }

  private static boolean isAwaitingEnd(LocalAttempt attempt) {
    return attempt.phase() == Phase.RUNNING || attempt.phase() == Phase.STOPPING;
  }

  @Override
  public void onLeaseLost(PooledWorker worker) {
    localAttempts.values().removeIf(attempt -> attempt.worker().equals(worker.id()));
  }

  private void startOrAdopt(OpenAttempt openAttempt) {
    Placement placement = openAttempt.placement();
    Optional<PooledWorker> activeWorker = pool.activeWorker(placement.worker());
    if (activeWorker.isEmpty() || localAttempts.containsKey(openAttempt.id())) {
      return;
    }
    PooledWorker worker = activeWorker.get();
    boolean claimedUnderCurrentLease =
        placement.holder().equals(context.self()) && placement.token() == worker.token();
    if (claimedUnderCurrentLease) {
      startClaimed(openAttempt, worker);
    } else {
      adoptOrResolve(openAttempt, worker);
    }
  }

  private LocalAttempt track(OpenAttempt openAttempt, Phase phase) {
    WorkerId worker = openAttempt.placement().worker();
    LocalAttempt attempt =
        new LocalAttempt(
            openAttempt.id(), openAttempt.job().spec().id(), openAttempt.task(), worker, phase);
    localAttempts.put(openAttempt.id(), attempt);
    return attempt;
  }

  private void startClaimed(OpenAttempt openAttempt, PooledWorker worker) {
    boolean reserved = worker.ledger().allocation(openAttempt.id()).isPresent();
    if (!reserved || !mayStart(openAttempt, worker)) {
      pool.release(worker, openAttempt.id());
      track(openAttempt, Phase.STARTING).startClosing(CloseCause.NOT_RUN, context.now());
      return;
    }
    Allocation allocation = Allocation.sent(openAttempt.job().spec().resources(), true);
    pool.allocate(worker, openAttempt.id(), allocation);
    track(openAttempt, Phase.STARTING);
    context.recordTimelineEvent(TimelineKind.ATTEMPT_CLAIMED, openAttempt.id(), worker.id());
    start(openAttempt, worker);
  }

  private boolean mayStart(OpenAttempt openAttempt, PooledWorker worker) {
    boolean inTime = context.now().isBefore(openAttempt.placement().notAfter());
    return inTime
        && !worker.isLeaving()
        && !openAttempt.job().isCancelled()
        && !openAttempt.job().isAborting();
  }

  private void start(OpenAttempt openAttempt, PooledWorker worker) {
    LocalAttempt attempt = localAttempts.get(openAttempt.id());
    attempt.moveTo(Phase.STARTING, Instant.MAX);
    Placement placement = openAttempt.placement();
    StartTask start =
        new StartTask(
            placement.token(),
            openAttempt.id(),
            openAttempt.job().spec().resources(),
            placement.notAfter(),
            placement.horizon(),
            true,
            openAttempt.job().spec().payload());
    context.emit(new Effect.CallWorker(worker.id(), worker.instance().address(), start));
  }

  private void adoptOrResolve(OpenAttempt openAttempt, PooledWorker worker) {
    boolean running =
        worker
            .ledger()
            .allocation(openAttempt.id())
            .map(allocation -> allocation.stage().isRunning())
            .orElse(false);
    if (running) {
      LocalAttempt attempt = track(openAttempt, Phase.RUNNING);
      attempt.markRunning(context.now());
      context.recordTimelineEvent(TimelineKind.ATTEMPT_ADOPTED, openAttempt.id(), worker.id());
      return;
    }
    LocalAttempt attempt = track(openAttempt, Phase.RESOLVING);
    attempt.scheduleRetryAt(context.now());
  }

  /** Handles the reply to a call about an attempt at a job's task. */
  void onWorkerReply(PooledWorker worker, WorkerCall call, AttemptId id, WorkerReply reply) {
    if (reply instanceof WorkerReply.AttemptState state && state.view().result().isPresent()) {
      pool.release(worker, id);
    }
    LocalAttempt attempt = localAttempts.get(id);
    Optional<OpenAttempt> openAttempt = openAttempts.find(id);
    if (attempt == null || openAttempt.isEmpty() || attempt.phase() == Phase.CLOSING) {
      return;
    }
    if (reply instanceof WorkerReply.AttemptState state) {
      applyState(worker, attempt, openAttempt.get(), state);
    } else if (reply instanceof WorkerReply.Refused refused) {
      applyRefusal(worker, attempt, refused, call);
    } else {
      attempt.scheduleRetryAt(context.now().plus(RETRY_INTERVAL));
    }
  }

  private void applyState(
      PooledWorker worker,
      LocalAttempt attempt,
      OpenAttempt openAttempt,
      WorkerReply.AttemptState state) {
    AttemptView view = state.view();
    switch (view.phase()) {
      case ENDED -> onAttemptEnded(worker, attempt, view.result().orElse(AttemptResult.FAILED));
      case RUNNING -> confirmRunning(worker, attempt, openAttempt);
      case FENCED -> {
        pool.release(worker, attempt.id());
        attempt.startClosing(CloseCause.NOT_RUN, context.now());
      }
      case NEVER_SEEN -> onNeverSeen(worker, attempt, openAttempt, state);
      default -> throw new IllegalStateException("unexpected attempt phase: " + view.phase());
    }
  }

  private void confirmRunning(PooledWorker worker, LocalAttempt attempt, OpenAttempt openAttempt) {
    if (attempt.phase() == Phase.STOPPING) {
      attempt.scheduleRetryAt(context.now().plus(RETRY_INTERVAL));
      return;
    }
    if (attempt.phase() != Phase.RUNNING) {
      attempt.markRunning(context.now());
      context.recordTimelineEvent(TimelineKind.ATTEMPT_STARTED, attempt.id(), worker.id());
    }
    pool.allocate(
        worker, attempt.id(), Allocation.running(openAttempt.job().spec().resources(), true));
  }

  private void onNeverSeen(
      PooledWorker worker,
      LocalAttempt attempt,
      OpenAttempt openAttempt,
      WorkerReply.AttemptState state) {
    Placement placement = openAttempt.placement();
    boolean rebooted = !placement.bootId().equals(state.bootId());
    boolean tooOld = context.now().isAfter(placement.notAfter().plus(WORKER_RECORD_RETENTION));
    boolean superseded = placement.token() < worker.token();
    boolean tooLate = state.instant().isAfter(placement.notAfter());
    if (rebooted || tooOld) {
      pool.release(worker, attempt.id());
      attempt.startClosing(CloseCause.LOST, context.now());
    } else if (superseded || tooLate) {
      pool.release(worker, attempt.id());
      attempt.startClosing(CloseCause.NOT_RUN, context.now());
    } else {
      attempt.scheduleRetryAt(context.now().plus(RETRY_INTERVAL));
    }
  }

  private void applyRefusal(
      PooledWorker worker, LocalAttempt attempt, WorkerReply.Refused refused, WorkerCall call) {
    boolean start = call instanceof StartTask;
    if (start && refused.cause() != WorkerReply.Refusal.OLD_TOKEN) {
      pool.release(worker, attempt.id());
      boolean invalid = refused.cause() == WorkerReply.Refusal.INVALID;
      attempt.startClosing(invalid ? CloseCause.FAILED : CloseCause.NOT_RUN, context.now());
    } else {
      attempt.scheduleRetryAt(context.now().plus(RETRY_INTERVAL));
    }
  }

  private void onAttemptEnded(PooledWorker worker, LocalAttempt attempt, AttemptResult result) {
    CloseCause cause =
        switch (result) {
          case DONE -> CloseCause.DONE;
          case FAILED -> CloseCause.FAILED;
          case STOPPED -> attempt.causeIfStopped();
          case LAPSED -> CloseCause.PREEMPTED;
        };
    pool.release(worker, attempt.id());
    openAttempts
        .find(attempt.id())
        .ifPresent(
            openAttempt -> {
              if (result == AttemptResult.DONE || result == AttemptResult.FAILED) {
                String className = openAttempt.job().spec().className();
                ejection.record(worker, className, result == AttemptResult.DONE);
              }
            });
    attempt.startClosing(cause, context.now());
  }

  void tick() {
    if (context.now().isBefore(nextScan)) {
      return;
    }
    nextScan = context.now().plus(RETRY_INTERVAL.dividedBy(5));
    for (LocalAttempt attempt : new ArrayList<>(localAttempts.values())) {
      Optional<OpenAttempt> openAttempt = openAttempts.find(attempt.id());
      Optional<PooledWorker> worker = pool.activeWorker(attempt.worker());
      if (openAttempt.isEmpty() || worker.isEmpty()) {
        localAttempts.remove(attempt.id());
      } else {
        advance(attempt, openAttempt.get(), worker.get());
      }
    }
    closeExpired();
  }

  private void advance(LocalAttempt attempt, OpenAttempt openAttempt, PooledWorker worker) {
    if (attempt.phase() == Phase.RUNNING) {
      advanceRunning(attempt, openAttempt);
    }
    if (!attempt.isDue(context.now())) {
      return;
    }
    // The default, which the step below, the worker's reply or an applied record may replace.
    attempt.scheduleRetryAt(context.now().plus(RETRY_INTERVAL.multipliedBy(4)));
    switch (attempt.phase()) {
      case STARTING -> startAgain(attempt, openAttempt, worker);
      case RESOLVING -> call(worker, new ReadTask(attempt.id()));
      case STOPPING -> {
        boolean checkpoint = attempt.causeIfStopped() == CloseCause.PREEMPTED;
        call(worker, new StopTask(worker.token(), attempt.id(), checkpoint));
      }
      case CLOSING -> appendClose(attempt, openAttempt);
      case RUNNING -> {}
      default ->
          throw new IllegalStateException("unexpected local attempt phase: " + attempt.phase());
    }
  }

  private void startAgain(LocalAttempt attempt, OpenAttempt openAttempt, PooledWorker worker) {
    if (mayStart(openAttempt, worker)) {
      start(openAttempt, worker);
    } else {
      attempt.moveTo(Phase.RESOLVING, context.now());
    }
  }

  private void call(PooledWorker worker, WorkerCall call) {
    context.emit(new Effect.CallWorker(worker.id(), worker.instance().address(), call));
  }

  private void appendClose(LocalAttempt attempt, OpenAttempt openAttempt) {
    attempt.scheduleRetryAt(context.now().plus(APPEND_RETRY_INTERVAL));
    TaskClosed record =
        TaskClosed.confirmed(attempt.job(), attempt.task(), openAttempt.attempt(), attempt.cause());
    context.append(streams.name(openAttempt.stream()), record);
  }

  private void advanceRunning(LocalAttempt attempt, OpenAttempt openAttempt) {
    Instant horizon = openAttempt.placement().horizon();
    if (openAttempt.job().isCancelled()) {
      attempt.startStopping(CloseCause.CANCELLED, context.now());
    } else if (openAttempt.job().isAborting()) {
      attempt.startStopping(CloseCause.PREEMPTED, context.now());
    } else if (context.now().isAfter(horizon.minus(STOP_BEFORE_HORIZON))) {
      attempt.startStopping(CloseCause.PREEMPTED, context.now());
      context.recordTimelineEvent(
          TimelineKind.ATTEMPT_PREEMPTED,
          attempt.id(),
          "horizon not extended in time; stopping it before " + horizon);
    } else {
      extendIfDue(attempt, openAttempt, horizon);
    }
  }

  private void extendIfDue(LocalAttempt attempt, OpenAttempt openAttempt, Instant horizon) {
    Duration half = context.settings().horizonLength().dividedBy(2);
    boolean due = context.now().isAfter(horizon.minus(half));
    if (!due || !attempt.isExtensionDue(context.now())) {
      return;
    }
    attempt.scheduleExtensionAt(context.now().plus(APPEND_RETRY_INTERVAL));
    Instant newHorizon = context.now().plus(context.settings().horizonLength());
    long epoch = streams.projection(openAttempt.stream()).epoch();
    context.append(
        streams.name(openAttempt.stream()),
        new HorizonExtended(
            attempt.job(), attempt.task(), openAttempt.attempt(), epoch, newHorizon));
  }

  /**
   * Closes attempts in the streams that this failure domain owns if they are not tracked here and
   * their horizon passed more than twice the clock bound ago, so that it has passed by every clock.
   */
  private void closeExpired() {
    Duration margin = context.settings().clockBound().multipliedBy(2);
    for (OpenAttempt openAttempt : new ArrayList<>(openAttempts.all())) {
      boolean expired = context.now().isAfter(openAttempt.placement().horizon().plus(margin));
      boolean owned =
          streams
              .projection(openAttempt.stream())
              .owner()
              .equals(Optional.of(context.failureDomain()));
      if (expired && owned && !localAttempts.containsKey(openAttempt.id())) {
        closeExpired(openAttempt);
      }
    }
  }

  private void closeExpired(OpenAttempt openAttempt) {
    if (membership.rank(openAttempt.id().toString()) != 0) {
      return;
    }
    Instant next = nextCloseOfExpired.getOrDefault(openAttempt.id(), Instant.EPOCH);
    if (context.now().isBefore(next)) {
      return;
    }
    nextCloseOfExpired.put(openAttempt.id(), context.now().plus(APPEND_RETRY_INTERVAL));
    context.append(
        streams.name(openAttempt.stream()),
        TaskClosed.horizonExpired(
            openAttempt.job().spec().id(),
            openAttempt.task(),
            openAttempt.attempt(),
            openAttempt.placement().horizon()));
  }

  /**
   * Stops up to {@code count} running batch attempts to free their slots, starting with those that
   * have run for the shortest time, since they lose the least work. Returns how many are stopped.
   */
  int preempt(int count) {
    List<LocalAttempt> cheapest =
        localAttempts.values().stream()
            .filter(attempt -> attempt.phase() == Phase.RUNNING)
            .filter(attempt -> !isGang(attempt))
            .sorted(Comparator.comparing(LocalAttempt::runningSince).reversed())
            .limit(count)
            .toList();
    for (LocalAttempt attempt : cheapest) {
      attempt.startStopping(CloseCause.PREEMPTED, context.now());
      context.recordTimelineEvent(
          TimelineKind.ATTEMPT_PREEMPTED,
          attempt.id(),
          "short requests have waited longer than the preemption delay; stopping the attempt");
    }
    return cheapest.size();
  }

  private boolean isGang(LocalAttempt attempt) {
    return openAttempts
        .find(attempt.id())
        .map(openAttempt -> openAttempt.job().spec().kind().startsTogether())
        .orElse(false);
  }

  /**
   * Returns whether no start, lookup, stop or close is under way, all of which a draining instance
   * should finish.
   */
  boolean isIdle() {
    return localAttempts.values().stream().allMatch(attempt -> attempt.phase() == Phase.RUNNING);
  }

  int stoppingCount() {
    return (int)
        localAttempts.values().stream()
            .filter(attempt -> attempt.phase() == Phase.STOPPING)
            .count();
  }
}
