package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.platform.JobRequestHandler;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.UnauthenticatedCall;

/**
 * Forwards the requests of callers to the scheduler, and answers them from the store if no
 * scheduler can be reached.
 *
 * <p>A job that is accepted or cancelled without a scheduler is recorded in the journal, where the
 * next scheduler reads it.
 *
 * <p>A scheduler sends an answer to the member's address, possibly after the member was killed and
 * started again there. Requests are therefore numbered upwards from the wall-clock time in
 * nanoseconds at which the handler was created, so that a later process uses numbers above those of
 * an earlier one. If the clock was set back in between, numbers coincide only if both processes
 * started at almost the same nanosecond of that clock.
 *
 * <p>A request occupies the thread that calls {@link #handle} until it is answered. {@link
 * SchedulerElection} reports the answers of schedulers on other threads.
 */
final class ForwardingRequestHandler implements JobRequestHandler {

  /** How long to wait for an answer before checking whether the scheduler is still alive. */
  private static final Duration SCHEDULER_ANSWER_WAIT = Duration.ofMillis(700);

  /** How long a request waits for the next scheduler before that is checked again. */
  private static final Duration NEXT_SCHEDULER_WAIT = Duration.ofMillis(100);

  /** The part of a caller's time that is kept for an append without a scheduler. */
  private static final Duration APPEND_RESERVE = Duration.ofMillis(1200);

  /** How long an entry waits for those before it, until a scheduler is looked for again. */
  private static final Duration APPEND_QUEUE_WAIT = Duration.ofMillis(300);

  /** How long to wait after an append whose outcome is uncertain, before it is repeated. */
  private static final Duration APPEND_RETRY_WAIT = Duration.ofMillis(100);

  /** The longest part of a caller's time that is kept for sending the answer. */
  private static final Duration MAXIMUM_ANSWER_RESERVE = Duration.ofMillis(150);

  /**
   * The part of a caller's remaining time that is kept for sending the answer. Callers that were
   * refused before return with little time left, often less than {@link #MAXIMUM_ANSWER_RESERVE}.
   */
  private static final int ANSWER_RESERVE_DIVISOR = 4;

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final MemberContext context;
  private final ConfigurationFollower configurationFollower;
  private final SchedulerClient scheduler;
  private final JobStateCache jobStates;
  private final MemberAppends appends;
  private final UnauthenticatedCallLog unauthenticatedCalls;
  private final long numbersBegin = wallClockNanos();
  private final AtomicLong lastRequestNumber = new AtomicLong(numbersBegin);
  private final AtomicInteger inFlight = new AtomicInteger();
  private final Map<Long, OpenRequest> openRequests = new ConcurrentHashMap<>();
  private volatile boolean leaving;

  ForwardingRequestHandler(
      MemberContext context,
      ConfigurationFollower configurationFollower,
      SchedulerClient scheduler) {
    this.context = context;
    this.configurationFollower = configurationFollower;
    this.scheduler = scheduler;
    this.jobStates = new JobStateCache(context);
    this.appends = new MemberAppends(context);
    this.unauthenticatedCalls = new UnauthenticatedCallLog(context);
  }

  private static long wallClockNanos() {
    Instant now = Instant.now();
    return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
  }

  /** Sends requests to the scheduler, on this member or on another one. */
  interface SchedulerClient {

    /**
     * Sends a request; returns the scheduler that it was sent to, or empty if none is known or it
     * is overloaded.
     */
    Optional<SchedulerSeat> trySend(long number, CallerRequest request);

    /** Returns how many jobs of each queue wait to start, or empty if no recent count is known. */
    Optional<PendingJobs> pendingJobs();

    /** Returns whether the scheduler or the store has answered recently enough to be ready. */
    boolean hasRecentContact();

    /** Returns whether the last heartbeat is recent enough to consider the scheduler alive. */
    boolean schedulerSeenRecently();

    /**
     * Returns whether the scheduler was lost so recently that the next one is likely to begin its
     * term in time.
     */
    boolean nextSchedulerExpected();

    /** Returns whether the store answered when this member last called it. */
    boolean storeAvailable();
  }

  @Override
  public Optional<CellConfiguration> configuration() {
    return configurationFollower.current();
  }

  @Override
  public void recordUnauthenticated(UnauthenticatedCall call) {
    long version = configuration().map(CellConfiguration::version).orElse(0L);
    unauthenticatedCalls.record(call, version);
  }

  @Override
  public boolean ready() {
    return !leaving && configurationFollower.current().isPresent() && scheduler.hasRecentContact();
  }

  @Override
  public boolean leaving() {
    return leaving;
  }

  void startLeaving() {
    leaving = true;
  }

  int inFlight() {
    return inFlight.get();
  }

  @Override
  public Optional<Integer> pendingJobs(String queue) {
    Optional<PendingJobs> pendingJobs = scheduler.pendingJobs();
    Map<String, Object> inputs = new HashMap<>();
    inputs.put("queue", queue);
    inputs.put("known", pendingJobs.isPresent());
    pendingJobs.ifPresent(
        counts -> {
          inputs.put("pending", counts.of(queue));
          inputs.put("term", counts.term());
          inputs.put(
              "ageMillis",
              Duration.between(counts.countedAt(), context.clock().instant()).toMillis());
        });
    context.log().write("pending jobs answered", inputs);
    context.metrics().countPendingAnswer(pendingJobs.isPresent());
    return pendingJobs.map(counts -> counts.of(queue));
  }

  /**
   * Handles an answer of a scheduler to the request with the given number.
   *
   * <p>An answer whose kind does not fit the request is dropped. The request stays open until its
   * own answer arrives or its deadline passes.
   */
  void onSchedulerAnswer(long number, CallerAnswer answer) {
    if (number <= numbersBegin) {
      context
          .log()
          .write(
              "answer to an earlier process dropped",
              Map.of("number", number, "verdict", answer.verdict()));
      return;
    }
    openRequests.computeIfPresent(
        number,
        (key, openRequest) -> {
          if (!answer.verdict().answers(openRequest.request())) {
            logUnfitAnswer(number, openRequest.request(), answer);
            return openRequest;
          }
          return openRequest.completeIfFinal(answer) ? null : openRequest;
        });
  }

  private void logUnfitAnswer(long number, CallerRequest request, CallerAnswer answer) {
    context
        .log()
        .write(
            "answer does not fit the request",
            request.job().text(),
            Map.of(
                "number",
                number,
                "asked",
                request.getClass().getSimpleName(),
                "verdict",
                answer.verdict()));
  }

  /**
   * Handles the return of the request with the given number by a scheduler that has not taken it.
   * If no other scheduler may have taken it, it is sent to the next one.
   */
  void onNotTaken(long number) {
    openRequests.computeIfPresent(
        number,
        (key, openRequest) -> {
          openRequest.countNotTaken();
          return sendIfNoReplyIsDue(key, openRequest);
        });
  }

  /** Sends the open requests to a new scheduler, since its predecessor may never answer them. */
  void resendOpenRequests() {
    for (Long number : openRequests.keySet()) {
      openRequests.computeIfPresent(number, this::sendToScheduler);
    }
  }

  private OpenRequest sendToScheduler(long number, OpenRequest openRequest) {
    Instant replyDue = context.clock().instant().plus(SCHEDULER_ANSWER_WAIT);
    scheduler
        .trySend(number, openRequest.request())
        .ifPresent(seat -> openRequest.addSchedulerAsked(seat, replyDue));
    return openRequest;
  }

  @Override
  public CallerAnswer handle(CallerRequest request, Instant deadline) {
    long startNanos = System.nanoTime();
    inFlight.incrementAndGet();
    try {
      long number = lastRequestNumber.incrementAndGet();
      OpenRequest openRequest = new OpenRequest(request);
      CallerAnswer answer =
          isTooLarge(request)
              ? CallerAnswer.of(Verdict.TOO_LARGE)
              : obtainAnswer(number, openRequest, answerBy(deadline));
      Duration duration = Duration.ofNanos(System.nanoTime() - startNanos);
      recordAnswer(number, openRequest, answer, duration);
      return answer;
    } finally {
      inFlight.decrementAndGet();
    }
  }

  private void recordAnswer(
      long number, OpenRequest openRequest, CallerAnswer answer, Duration duration) {
    CallerRequest request = openRequest.request();
    String kind = request.getClass().getSimpleName();
    context.metrics().recordAnswer(kind, answer.verdict().name(), duration.toNanos() / 1e9);
    boolean slow = duration.compareTo(SCHEDULER_ANSWER_WAIT) > 0;
    boolean routineShow = request instanceof CallerRequest.Show && answer.state().isPresent();
    if (routineShow && !slow) {
      return;
    }
    Map<String, Object> fields = new HashMap<>();
    fields.put("asked", kind);
    fields.put("verdict", answer.verdict());
    fields.put("millis", duration.toMillis());
    if (slow || answer.verdict() == Verdict.UNCERTAIN) {
      fields.put("number", number);
      fields.putAll(openRequest.logFields());
    }
    context.log().write("answered", request.job().text(), fields);
  }

  private static boolean isTooLarge(CallerRequest request) {
    return request instanceof CallerRequest.Submit submit
        && !JournalCodec.fits(submit.definition());
  }

  /**
   * Returns until when to wait for the answer of a caller with the given deadline. Nearly all of
   * the caller's time is used, since a caller can't safely repeat a request whose outcome is
   * uncertain.
   */
  private Instant answerBy(Instant deadline) {
    Duration remaining = Duration.between(context.clock().instant(), deadline);
    Duration reserve = remaining.dividedBy(ANSWER_RESERVE_DIVISOR);
    return deadline.minus(
        reserve.compareTo(MAXIMUM_ANSWER_RESERVE) < 0 ? reserve : MAXIMUM_ANSWER_RESERVE);
  }

  private CallerAnswer obtainAnswer(long number, OpenRequest openRequest, Instant answerBy) {
    openRequests.put(number, openRequest);
    openRequests.computeIfPresent(number, this::sendToScheduler);
    try {
      return waitForAnswer(number, openRequest, answerBy);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return CallerAnswer.of(Verdict.UNCERTAIN);
    } finally {
      openRequests.remove(number);
    }
  }

  /**
   * Waits for the scheduler's answer while the scheduler is alive or the next one is about to
   * begin, and answers the request from the store if it was sent to none or all have returned it.
   * The scheduler appends the requests of all members in batches; if each member appended its
   * requests instead, it would overload a store that is merely slow.
   */
  private CallerAnswer waitForAnswer(long number, OpenRequest openRequest, Instant answerBy)
      throws InterruptedException {
    boolean storeTried = false;
    while (true) {
      boolean held = isHeld(openRequest, answerBy);
      if (held || openRequest.mayTakeEffect()) {
        Duration wait = held ? NEXT_SCHEDULER_WAIT : replyWait(openRequest);
        Optional<CallerAnswer> answer =
            openRequest.awaitAnswer(Math.min(remainingMillis(answerBy), wait.toMillis()));
        if (answer.isPresent()) {
          return answer.get();
        }
        if (remainingMillis(answerBy) <= 1) {
          return CallerAnswer.of(Verdict.UNCERTAIN);
        }
        if (held) {
          openRequests.computeIfPresent(number, this::sendIfNoReplyIsDue);
        } else {
          sendAgainIfDue(number);
        }
      }
      boolean storeDue = !storeTried || scheduler.storeAvailable() || !openRequest.mayTakeEffect();
      if (storeDue && !isHeld(openRequest, answerBy)) {
        storeTried = true;
        Optional<CallerAnswer> answer = answerIfSchedulerIsGone(number, openRequest, answerBy);
        if (answer.isPresent()) {
          return answer.get();
        }
      }
    }
  }

  /**
   * Returns whether a request that no scheduler has been sent waits for the next one: until that
   * begins, nothing runs that this member could store.
   */
  private boolean isHeld(OpenRequest openRequest, Instant answerBy) {
    return !openRequest.mayTakeEffect()
        && scheduler.nextSchedulerExpected()
        && scheduler.storeAvailable()
        && context.clock().instant().isBefore(answerBy.minus(APPEND_RESERVE));
  }

  private static Duration replyWait(OpenRequest openRequest) {
    return openRequest.awaitsScheduler() ? SCHEDULER_ANSWER_WAIT : APPEND_RETRY_WAIT;
  }

  /**
   * Answers a request from the store, or refuses it, if no scheduler owes a reply or the scheduler
   * is silent. Returns empty if neither is possible now.
   */
  private Optional<CallerAnswer> answerIfSchedulerIsGone(
      long number, OpenRequest openRequest, Instant answerBy) throws InterruptedException {
    boolean withdrawn = withdraw(number);
    if (!withdrawn && scheduler.schedulerSeenRecently()) {
      return Optional.empty();
    }
    Optional<CallerAnswer> answer = answerWithoutScheduler(openRequest, answerBy);
    if (answer.isPresent()) {
      return answer;
    }
    boolean queuedForStore = openRequest.appendUnsent() && remainingMillis(answerBy) > 1;
    if (!queuedForStore && withdraw(number) && !openRequest.mayTakeEffect()) {
      return openRequest
          .answer()
          .or(() -> Optional.of(CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, RETRY_AFTER)));
    }
    openRequests.put(number, openRequest);
    openRequests.computeIfPresent(number, this::sendIfNoReplyIsDue);
    return Optional.empty();
  }

  private OpenRequest sendIfNoReplyIsDue(long number, OpenRequest openRequest) {
    return openRequest.awaitsScheduler() ? openRequest : sendToScheduler(number, openRequest);
  }

  private void sendAgainIfDue(long number) {
    openRequests.computeIfPresent(
        number,
        (key, openRequest) ->
            openRequest.isDueAgain(context.clock().instant())
                ? sendToScheduler(key, openRequest)
                : openRequest);
  }

  /**
   * Withdraws a request for which no scheduler owes a reply, so that schedulers that appear from
   * here on are not sent it: one of them could accept a job that this member refuses.
   *
   * @return whether the request is withdrawn, or was answered by a scheduler meanwhile
   */
  private boolean withdraw(long number) {
    return openRequests.computeIfPresent(
            number, (key, openRequest) -> openRequest.awaitsScheduler() ? openRequest : null)
        == null;
  }

  private long remainingMillis(Instant answerBy) {
    return Math.max(1, Duration.between(context.clock().instant(), answerBy).toMillis());
  }

  /** Answers a request from the store alone, or returns empty if that fails. */
  private Optional<CallerAnswer> answerWithoutScheduler(OpenRequest openRequest, Instant answerBy)
      throws InterruptedException {
    CallerRequest request = openRequest.request();
    if (!scheduler.storeAvailable()) {
      // An append that gets no answer would rule out that the request is refused.
      return request instanceof CallerRequest.Show
          ? Optional.of(CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, RETRY_AFTER))
          : Optional.empty();
    }
    if (request instanceof CallerRequest.Submit submit) {
      return appendWithoutScheduler(
          openRequest, new JournalEntry.Accepted(submit.definition()), Verdict.ACCEPTED, answerBy);
    }
    if (request instanceof CallerRequest.Cancel cancel) {
      JobOpenness openness = opennessOf(cancel);
      if (openness != JobOpenness.OPEN) {
        return openness == JobOpenness.CLOSED
            ? Optional.of(CallerAnswer.of(Verdict.UNKNOWN_JOB))
            : Optional.empty();
      }
      return appendWithoutScheduler(
          openRequest, new JournalEntry.Cancelled(cancel.job()), Verdict.CANCELLED, answerBy);
    }
    return Optional.of(showStored(request));
  }

  /** Whether a job is open to a caller who cancels it. */
  private enum JobOpenness {
    OPEN,
    CLOSED,
    NOT_KNOWN
  }

  /**
   * Looks the owner of a job up. A cancellation of another organisation's job must not reach the
   * journal, which does not hold who cancels.
   */
  private JobOpenness opennessOf(CallerRequest.Cancel cancel) {
    if (cancel.caller().isEmpty()) {
      return JobOpenness.OPEN;
    }
    return switch (jobStates.lookUp(cancel.job()).status()) {
      case UNREACHABLE, UNREADABLE -> JobOpenness.NOT_KNOWN;
      case KNOWN, ABSENT ->
          jobStates.isOpenTo(cancel.job(), cancel.caller()) ? JobOpenness.OPEN : JobOpenness.CLOSED;
    };
  }

  private CallerAnswer showStored(CallerRequest request) {
    JobStateCache.JobLookup lookup = jobStates.lookUp(request.job());
    context
        .log()
        .write(
            "job state looked up without a scheduler",
            request.job().text(),
            Map.of(
                "knowledge", lookup.status(), "state", lookup.state().map(Enum::name).orElse("")));
    return switch (lookup.status()) {
      case KNOWN ->
          jobStates.isOpenTo(request.job(), request.caller())
              ? CallerAnswer.state(lookup.state().orElseThrow())
              : CallerAnswer.of(Verdict.UNKNOWN_JOB);
      case ABSENT -> CallerAnswer.of(Verdict.UNKNOWN_JOB);
      case UNREACHABLE, UNREADABLE -> CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, RETRY_AFTER);
    };
  }

  private Optional<CallerAnswer> appendWithoutScheduler(
      OpenRequest openRequest, JournalEntry entry, Verdict verdictIfStored, Instant answerBy)
      throws InterruptedException {
    if (!openRequest.tryBeginAppend()) {
      return openRequest.answer();
    }
    Instant queueUntil = context.clock().instant().plus(APPEND_QUEUE_WAIT);
    Optional<Either<StoreFailure, Long>> result =
        appends.append(entry, queueUntil.isBefore(answerBy) ? queueUntil : answerBy);
    OpenRequest.AppendOutcome outcome =
        result.map(OpenRequest.AppendOutcome::of).orElse(OpenRequest.AppendOutcome.UNSENT);
    openRequest.endAppend(outcome);
    String reason =
        openRequest.awaitsScheduler() ? "scheduler did not answer" : "no scheduler known";
    context
        .log()
        .write(
            "journal append without a scheduler",
            entry.job().text(),
            Map.of("outcome", outcome, "reason", reason));
    return outcome == OpenRequest.AppendOutcome.STORED
        ? Optional.of(CallerAnswer.of(verdictIfStored))
        : Optional.empty();
  }
}
