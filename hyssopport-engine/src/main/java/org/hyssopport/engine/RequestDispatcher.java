package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.hyssopport.engine.Request.Phase;
import org.hyssopport.engine.Request.WorkerSend;
import org.hyssopport.engine.WorkerLedger.Allocation;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.AttemptPhase;
import org.hyssopport.engine.platform.AttemptResult;
import org.hyssopport.engine.platform.AttemptView;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerCall.ReadTask;
import org.hyssopport.engine.platform.WorkerCall.StartTask;
import org.hyssopport.engine.platform.WorkerCall.StopTask;
import org.hyssopport.engine.platform.WorkerReply;

/**
 * Sends waiting requests to workers and peers, and determines their outcomes.
 *
 * <p>If the answer to an attempt is lost, the worker is asked for the state of the attempt by its
 * id; the attempt is never sent again. A request gets another attempt only if it is repeatable or
 * if the attempt provably did not run.
 */
final class RequestDispatcher {

  private static final int MAXIMUM_SCANNED_REQUESTS = 8;
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final Duration UNREACHABLE_POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration HORIZON_GRACE = Duration.ofSeconds(1);

  private final EngineContext context;
  private final WorkerPool pool;
  private final RequestRegistry registry;
  private final Forwarder forwarder;
  private final OutlierEjection ejection;
  private final RequestQueue queue;
  private final RetryBudget retryBudget;
  private final Map<String, RunTimeEstimate> estimates = new HashMap<>();
  private final PriorityQueue<ScheduledPoll> polls =
      new PriorityQueue<>(Comparator.comparing(ScheduledPoll::instant));

  RequestDispatcher(
      EngineContext context,
      WorkerPool pool,
      RequestRegistry registry,
      Forwarder forwarder,
      OutlierEjection ejection) {
    this.context = context;
    this.pool = pool;
    this.registry = registry;
    this.forwarder = forwarder;
    this.ejection = ejection;
    this.queue = new RequestQueue(context.settings().policies().queueing());
    this.retryBudget = RetryBudget.of(context.settings().retryShare());
  }

  private Policies policies() {
    return context.settings().policies();
  }

  int waitingCount() {
    return queue.size();
  }

  boolean isFull() {
    return queue.size() >= context.settings().maximumWaiting();
  }

  RunTimeEstimate estimate(Request request) {
    return estimates.computeIfAbsent(
        request.workClass().name(),
        name -> RunTimeEstimate.declared(request.workClass().expectedRunTime()));
  }

  /** Queues a new request, which adds to the retry budget. */
  void enqueue(Request request) {
    retryBudget.recordFirstAttempt();
    enqueueOrGiveUp(request);
  }

  private void enqueueOrGiveUp(Request request) {
    if (!request.mayBeForwarded()) {
      giveUpWaiting(request);
      return;
    }
    request.moveToWaiting(context.now());
    queue.add(policies().queueing().laneOf(estimate(request)), request);
  }

  /**
   * Starts a request at once on a worker that this instance holds.
   *
   * @return false if it was not started, in which case nothing of it is kept
   */
  boolean tryStartNow(Request request) {
    return !wouldOvertakeWaiting(request)
        && sendToOwnWorker(request, policies().queueing().laneOf(estimate(request)));
  }

  private boolean wouldOvertakeWaiting(Request request) {
    Lane lane = policies().queueing().laneOf(estimate(request));
    return queue.size(lane) > 0;
  }

  /** Returns how long the first request of the short lane has waited; empty if none waits. */
  Optional<Duration> firstShortRequestWait() {
    return queue
        .first(Lane.SHORT)
        .map(request -> Duration.between(request.waitingSince(), context.now()));
  }

  void dispatch() {
    for (Lane lane : Lane.values()) {
      int blocked = 0;
      boolean progress = true;
      while (progress && queue.size(lane) > 0) {
        progress = false;
        for (Request request : queue.first(lane, MAXIMUM_SCANNED_REQUESTS)) {
          if (trySendOrGiveUp(request, lane)) {
            progress = true;
          } else {
            blocked++;
          }
        }
        progress = progress && blocked < MAXIMUM_SCANNED_REQUESTS;
      }
    }
  }

  private boolean trySendOrGiveUp(Request request, Lane lane) {
    Instant estimatedEnd = context.now().plusMillis(estimate(request).upperEstimateMillis());
    if (estimatedEnd.isAfter(request.deadline())) {
      queue.remove(request);
      giveUpWaiting(request);
      return true;
    }
    if (sendToOwnWorker(request, lane) || forwarder.forward(request, lane, queue.size())) {
      queue.remove(request);
      return true;
    }
    return false;
  }

  private void giveUpWaiting(Request request) {
    if (request.mayHaveRun()) {
      registry.finish(request, Outcome.UNKNOWN, Reason.ANSWER_LOST, Optional.empty());
    } else if (request.hasFailed()) {
      registry.finish(request, Outcome.FAILED, Reason.WORK_FAILED, Optional.empty());
    } else {
      registry.finish(request, Outcome.NOT_RUN, Reason.NO_CAPACITY_IN_TIME, Optional.empty());
    }
  }

  private boolean sendToOwnWorker(Request request, Lane lane) {
    Optional<PooledWorker> chosen =
        pool.chooseForRequest(
            request.workClass().resources(), lane, worker -> !request.avoids(worker.id()));
    if (chosen.isEmpty() && request.attempts() > 0) {
      chosen = pool.chooseForRequest(request.workClass().resources(), lane, worker -> true);
    }
    chosen.ifPresent(worker -> send(request, worker));
    return chosen.isPresent();
  }

  private void send(Request request, PooledWorker worker) {
    Instant leaseEnd = worker.leaseDeadline().minus(context.settings().clockBound());
    Instant notAfter = request.deadline().isBefore(leaseEnd) ? request.deadline() : leaseEnd;
    WorkerSend send =
        new WorkerSend(worker.id(), worker.token(), worker.bootId(), notAfter, context.now());
    AttemptId attempt = request.recordSend(send);
    pool.allocate(worker, attempt, Allocation.sent(request.workClass().resources(), false));
    Instant horizon = request.deadline().plus(HORIZON_GRACE);
    StartTask start =
        new StartTask(
            worker.token(),
            attempt,
            request.workClass().resources(),
            notAfter,
            horizon,
            false,
            request.serviceRequest().body());
    context.recordTimelineEvent(TimelineKind.REQUEST_SENT, attempt, worker.id());
    context.emit(new Effect.CallWorker(worker.id(), worker.instance().address(), start));
  }

  /** Applies a worker's reply about an attempt of a request. */
  void onWorkerReply(PooledWorker worker, WorkerCall call, AttemptId attempt, WorkerReply reply) {
    if (reply instanceof WorkerReply.AttemptState state && hasEnded(state)) {
      release(worker, attempt);
    }
    Optional<Request> request = registry.active(attempt.task());
    if (request.isEmpty()) {
      if (reply instanceof WorkerReply.Refused || isUnsent(reply)) {
        release(worker, attempt);
      } else if (reply instanceof WorkerReply.NoUsableReply) {
        releaseOnReport(worker, attempt);
      }
      return;
    }
    applyReply(request.get(), worker, call, attempt, reply);
  }

  private static boolean hasEnded(WorkerReply.AttemptState state) {
    return state.view().phase() == AttemptPhase.ENDED
        || state.view().phase() == AttemptPhase.FENCED;
  }

  private static boolean isUnsent(WorkerReply reply) {
    return reply instanceof WorkerReply.NoUsableReply failed && !failed.mayHaveTakenEffect();
  }

  private void release(PooledWorker worker, AttemptId attempt) {
    pool.release(worker, attempt);
  }

  private void applyReply(
      Request request, PooledWorker worker, WorkerCall call, AttemptId attempt, WorkerReply reply) {
    boolean current = request.currentAttempt().equals(attempt);
    if (reply instanceof WorkerReply.AttemptState state) {
      applyState(request, worker, attempt, state);
    } else if (call instanceof StartTask) {
      applyFailedStart(request, worker, attempt, reply, current);
    } else if (reply instanceof WorkerReply.Refused) {
      schedulePoll(request, attempt, POLL_INTERVAL);
    } else {
      applyUnreachable(request, worker, attempt, current);
    }
  }

  private void applyFailedStart(
      Request request, PooledWorker worker, AttemptId attempt, WorkerReply reply, boolean current) {
    if (reply instanceof WorkerReply.Refused || isUnsent(reply)) {
      release(worker, attempt);
      if (current) {
        request.avoid(worker.id());
        if (isUnsent(reply)) {
          ejection.record(worker, request.workClass().name(), false);
        }
        enqueueOrGiveUp(request);
      }
      return;
    }
    request.moveTo(Phase.RESOLVING);
    readState(request, attempt);
  }

  private void applyState(
      Request request, PooledWorker worker, AttemptId attempt, WorkerReply.AttemptState state) {
    AttemptView view = state.view();
    Optional<WorkerSend> send = request.workerSend(attempt.number());
    switch (view.phase()) {
      case ENDED -> onAttemptEnded(request, worker, attempt, view);
      case RUNNING -> schedulePoll(request, attempt, POLL_INTERVAL);
      case FENCED -> {
        if (request.currentAttempt().equals(attempt) && request.phase() == Phase.RESOLVING) {
          enqueueOrGiveUp(request);
        }
      }
      case NEVER_SEEN -> {
        boolean rebooted = send.map(sent -> !sent.bootId().equals(state.bootId())).orElse(true);
        boolean tooLate = send.map(sent -> state.instant().isAfter(sent.notAfter())).orElse(false);
        onNeverSeen(request, worker, attempt, rebooted, tooLate);
      }
      default -> throw new IllegalStateException("unexpected attempt phase: " + view.phase());
    }
  }

  private void onNeverSeen(
      Request request, PooledWorker worker, AttemptId attempt, boolean rebooted, boolean tooLate) {
    boolean current = request.currentAttempt().equals(attempt);
    if (rebooted) {
      release(worker, attempt);
      if (current) {
        onAnswerLost(request, worker);
        finishAsLost(request);
      }
    } else if (tooLate) {
      release(worker, attempt);
      if (current && request.phase() == Phase.RESOLVING) {
        enqueueOrGiveUp(request);
      }
    } else if (isSentUnderCurrentLease(request, worker, attempt)) {
      StopTask fence = new StopTask(worker.token(), attempt, false);
      context.emit(new Effect.CallWorker(worker.id(), worker.instance().address(), fence));
    } else {
      schedulePoll(request, attempt, POLL_INTERVAL);
    }
  }

  private static boolean isSentUnderCurrentLease(
      Request request, PooledWorker worker, AttemptId attempt) {
    return worker.state().isHeld()
        && request
            .workerSend(attempt.number())
            .map(send -> send.token() == worker.token())
            .orElse(false);
  }

  private void onAttemptEnded(
      Request request, PooledWorker worker, AttemptId attempt, AttemptView view) {
    boolean done = view.result().equals(Optional.of(AttemptResult.DONE));
    request
        .workerSend(attempt.number())
        .ifPresent(
            send ->
                estimate(request)
                    .observe(Duration.between(send.sentAt(), context.now()).toMillis()));
    ejection.record(worker, request.workClass().name(), done);
    if (done) {
      queue.remove(request);
      registry.finish(request, Outcome.DONE, Reason.COMPLETED, view.answer());
      return;
    }
    request.markFailed();
    boolean current = request.currentAttempt().equals(attempt);
    if (!current) {
      return;
    }
    request.avoid(worker.id());
    if (request.isRepeatable() && mayRetry(request)) {
      retry(request, "failed on " + worker.id());
    } else {
      registry.finish(request, Outcome.FAILED, Reason.WORK_FAILED, view.answer());
    }
  }

  private void applyUnreachable(
      Request request, PooledWorker worker, AttemptId attempt, boolean current) {
    request.markMayHaveRun();
    if (current && request.phase() == Phase.RESOLVING) {
      onAnswerLost(request, worker);
    }
    if (request.phase() != Phase.FINISHED && !request.isRepeatable()) {
      schedulePoll(request, attempt, UNREACHABLE_POLL_INTERVAL);
    }
  }

  private void onAnswerLost(Request request, PooledWorker worker) {
    request.markMayHaveRun();
    request.avoid(worker.id());
    releaseOnReport(worker, request.currentAttempt());
    if (request.isRepeatable() && mayRetry(request)) {
      retry(request, "outcome lost at " + worker.id());
    }
  }

  private void finishAsLost(Request request) {
    if (request.phase() == Phase.RESOLVING) {
      registry.finish(request, Outcome.UNKNOWN, Reason.ANSWER_LOST, Optional.empty());
    }
  }

  /** Keeps the allocation until a report of the worker shows that the attempt has ended. */
  private void releaseOnReport(PooledWorker worker, AttemptId attempt) {
    worker
        .ledger()
        .allocation(attempt)
        .ifPresent(
            allocation ->
                pool.allocate(
                    worker,
                    attempt,
                    Allocation.reported(allocation.resources(), allocation.kept())));
  }

  private boolean mayRetry(Request request) {
    return request.mayBeForwarded()
        && context.now().isBefore(request.deadline())
        && (retryBudget.tryConsumeRetry() || !policies().failureHandling().limitsRetries());
  }

  private void retry(Request request, String why) {
    context.recordTimelineEvent(TimelineKind.REQUEST_RETRIED, request.id(), why);
    enqueueOrGiveUp(request);
  }

  /**
   * Schedules another read of the attempt's state, or finishes the request as unknown if the answer
   * retention has passed since its deadline.
   */
  private void schedulePoll(Request request, AttemptId attempt, Duration delay) {
    Instant giveUpAt = request.deadline().plus(context.settings().answerRetention());
    if (context.now().isBefore(giveUpAt)) {
      polls.add(new ScheduledPoll(context.now().plus(delay), attempt));
    } else {
      registry.finish(request, Outcome.UNKNOWN, Reason.ANSWER_LOST, Optional.empty());
    }
  }

  private void readState(Request request, AttemptId attempt) {
    request
        .workerSend(attempt.number())
        .flatMap(send -> pool.worker(send.worker()))
        .ifPresentOrElse(
            worker ->
                context.emit(
                    new Effect.CallWorker(
                        worker.id(), worker.instance().address(), new ReadTask(attempt))),
            () -> schedulePoll(request, attempt, UNREACHABLE_POLL_INTERVAL));
  }

  void tick() {
    while (!polls.isEmpty() && !context.now().isBefore(polls.peek().instant())) {
      AttemptId attempt = polls.remove().attempt();
      registry.active(attempt.task()).ifPresent(request -> readState(request, attempt));
    }
    for (Request request : new ArrayList<>(registry.drainOverdue())) {
      onDeadlinePassed(request);
    }
    dispatch();
  }

  private void onDeadlinePassed(Request request) {
    switch (request.phase()) {
      case WAITING -> {
        queue.remove(request);
        giveUpWaiting(request);
      }
      case CLAIMING, AT_WORKER, AT_PEER, RESOLVING -> {
        Reason reason =
            request.phase() == Phase.CLAIMING ? Reason.LOG_ANSWER_LOST : Reason.ANSWER_LOST;
        answerUnknown(request, reason);
      }
      case FINISHED -> {}
      default -> throw new IllegalStateException("unexpected request phase: " + request.phase());
    }
  }

  /**
   * Answers that the outcome is unknown. The request stays active until the answer retention has
   * passed since its deadline, so that its outcome may still become known.
   */
  private void answerUnknown(Request request, Reason reason) {
    registry.sendAnswers(
        request, new Answer.RequestAnswer(request.id(), Outcome.UNKNOWN, reason, Optional.empty()));
    Instant giveUpAt = request.deadline().plus(context.settings().answerRetention());
    if (context.now().isBefore(giveUpAt)) {
      registry.scheduleTimer(request, giveUpAt);
    } else {
      registry.finish(request, Outcome.UNKNOWN, reason, Optional.empty());
    }
  }

  /** Returns a request to the queue after a peer proved that it did not run there. */
  void requeue(Request request) {
    enqueueOrGiveUp(request);
  }

  /** Removes a request from the queue because its outcome is known. */
  void withdraw(Request request) {
    queue.remove(request);
  }

  /**
   * Retries a repeatable request after it failed or was lost at a peer.
   *
   * @param why the reason, for the timeline
   * @return whether it is retried; false if it is not repeatable or no retry is allowed
   */
  boolean retryElsewhere(Request request, String why) {
    if (!request.isRepeatable() || !mayRetry(request)) {
      return false;
    }
    retry(request, why);
    return true;
  }

  /**
   * A time at which the state of an attempt is read again.
   *
   * @param instant the time
   * @param attempt the attempt
   */
  private record ScheduledPoll(Instant instant, AttemptId attempt) {}
}
