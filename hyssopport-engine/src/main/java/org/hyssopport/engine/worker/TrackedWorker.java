package org.hyssopport.engine.worker;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;

/**
 * One incarnation of a worker as the scheduler tracks it: its lease, its runs and the resources
 * that they occupy, and the polls and orders sent to it. Not thread-safe: only the scheduler uses
 * it.
 *
 * @since 0.2
 */
public final class TrackedWorker {

  /** Covers the rounding of clocks to whole milliseconds and the network delay of one answer. */
  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(100);

  /** A single poll may be lost on the network; a worker that misses two gets no new work. */
  private static final int UNANSWERED_POLL_THRESHOLD = 2;

  /** The pause after the worker could not be reached or rejected an order as unhealthy. */
  private static final Duration UNREACHABLE_PAUSE = Duration.ofMillis(500);

  /** Healthy workers answer within a few milliseconds; an order times out after 0.7 s. */
  private static final Duration EXPECTED_ANSWER_TIME = Duration.ofMillis(150);

  private final WorkerCircuitBreaker circuitBreaker = WorkerCircuitBreaker.create();
  private final IncarnationEvidence evidence = IncarnationEvidence.none();
  private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();
  private WorkerDescription description;
  private RunListener runListener = RunListener.NONE;
  private LiveListEntry liveListEntry = LiveListEntry.PRESENT;
  private boolean reportReceived;
  private boolean reportComplete = true;
  private Resources used = Resources.NONE;
  private Optional<WorkerClock> clock = Optional.empty();

  /** The latest end of a lease that this scheduler granted, by the clock of the worker. */
  private long leaseGrantedUntilMillis;

  private Instant inheritedLeaseUntil;
  private Instant leaseExpiresAt;
  private long processedEndNumber;
  private long storedEndNumber;
  private long acknowledgedEndNumber;
  private boolean pollInFlight;
  private Instant nextPollAt = Instant.MIN;
  private int unansweredPolls;
  private Optional<Instant> awaitingAnswerSince = Optional.empty();
  private Instant unreachableUntil = Instant.MIN;

  private TrackedWorker(WorkerDescription description, Instant inheritedLeaseUntil) {
    this.description = description;
    this.inheritedLeaseUntil = inheritedLeaseUntil;
    this.leaseExpiresAt = inheritedLeaseUntil;
  }

  /**
   * Returns a worker that has not sent a report to this scheduler yet.
   *
   * @param description the worker's description
   * @param inheritedLeaseUntil when every lease that an earlier scheduler granted has expired, by
   *     the local monotonic clock
   * @return the worker
   */
  public static TrackedWorker withoutReport(
      WorkerDescription description, Instant inheritedLeaseUntil) {
    return new TrackedWorker(description, inheritedLeaseUntil);
  }

  /** Returns the worker's newest description. */
  public WorkerDescription description() {
    return description;
  }

  /** Returns the worker's id. */
  public WorkerId id() {
    return description.id();
  }

  /** Sets what is told of the runs that are added and removed from now on. */
  public void setRunListener(RunListener listener) {
    runListener = listener;
  }

  /** Replaces the description by a newer one of the same incarnation from the live list. */
  public void updateDescription(WorkerDescription newer) {
    description = newer;
    liveListEntry = LiveListEntry.PRESENT;
  }

  /** Marks the worker as absent from the live list; it gets no new work. */
  public void markUnlisted() {
    liveListEntry = LiveListEntry.ABSENT;
  }

  /**
   * Marks the worker as one whose entry in the live list has expired while the store was away; it
   * gets no new work until it sends a report.
   */
  public void markLapsed() {
    liveListEntry = liveListEntry.lapsed();
  }

  /** Returns whether the live list contains the worker, or did so until the store was away. */
  public boolean listed() {
    return liveListEntry != LiveListEntry.ABSENT;
  }

  /** Returns whether a report has been received since this scheduler's term began. */
  public boolean reportReceived() {
    return reportReceived;
  }

  /** Returns whether the last report, if there was one, listed all ended runs. */
  public boolean isReportComplete() {
    return reportComplete;
  }

  /** Returns the circuit breaker that keeps tasks from a failing worker. */
  public WorkerCircuitBreaker circuitBreaker() {
    return circuitBreaker;
  }

  /** Records that an order is being sent; the worker is suspect if it does not answer soon. */
  public void recordOrderSent(Instant now) {
    if (awaitingAnswerSince.isEmpty()) {
      awaitingAnswerSince = Optional.of(now);
    }
  }

  /** Records that the order of an instant was not sent after all, so that no answer is due. */
  public void withdrawOrder(Instant orderedAt) {
    awaitingAnswerSince = awaitingAnswerSince.filter(since -> !since.equals(orderedAt));
  }

  /** Records that the worker has answered an order or a poll, with whatever result. */
  public void recordAnswer() {
    awaitingAnswerSince = Optional.empty();
  }

  /** Returns whether an order has gone unanswered for longer than a healthy worker takes. */
  public boolean isSuspect(Instant now) {
    return awaitingAnswerSince
        .filter(since -> now.isAfter(since.plus(EXPECTED_ANSWER_TIME)))
        .isPresent();
  }

  /** Records that the worker could not be reached, or rejected an order as unhealthy. */
  public void recordUnreachable(Instant now) {
    unreachableUntil = now.plus(UNREACHABLE_PAUSE);
  }

  /** Returns whether the worker could not be reached a moment ago; it gets no new work then. */
  public boolean isUnreachable(Instant now) {
    return now.isBefore(unreachableUntil);
  }

  /** Records that a call got an answer that may have come from a later incarnation. */
  public void recordDoubtfulIncarnation(Instant now) {
    evidence.recordDoubt(now);
  }

  /** Records that a later incarnation has answered, whose number is not known yet. */
  public void markReplaced(Instant now) {
    evidence.recordReplacement(now);
  }

  /** Returns the last known reading of the worker's clock in milliseconds. */
  public Optional<Long> latestClockMillis() {
    return evidence.latestClockMillis();
  }

  /** Returns whether a later incarnation has answered, whose number is not known yet. */
  public boolean isReplaced() {
    return evidence.isReplaced();
  }

  /** Returns whether new runs may be placed on the worker. */
  public boolean acceptsWork() {
    return reportReceived
        && !evidence.isReplaced()
        && liveListEntry.allowsWork()
        && !description.draining()
        && unansweredPolls < UNANSWERED_POLL_THRESHOLD;
  }

  /** Returns the resources that no run occupies. */
  public Resources freeResources() {
    return description.capacity().minus(used);
  }

  /** Returns all runs on the worker. */
  public Collection<TrackedRun> runs() {
    return runs.values();
  }

  /** Returns a run, if it is on the worker. */
  public Optional<TrackedRun> run(RunId runId) {
    return Optional.ofNullable(runs.get(runId));
  }

  /**
   * Adds a run and reserves its resources.
   *
   * @param run the run
   * @throws IllegalStateException if the run is on the worker already
   */
  public void add(TrackedRun run) {
    if (runs.putIfAbsent(run.id(), run) != null) {
      throw new IllegalStateException("run is already on its worker: " + run.id());
    }
    used = used.plus(run.demand());
    runListener.onRunAdded(run);
  }

  /** Removes a run and frees its resources; returns false if it is not on the worker. */
  public boolean remove(RunId runId) {
    TrackedRun removed = runs.remove(runId);
    if (removed == null) {
      return false;
    }
    used = used.minus(removed.demand());
    circuitBreaker.recordRunOver(runId);
    runListener.onRunRemoved(removed);
    return true;
  }

  /**
   * Records an answer that contains a reading of the worker's clock; ends the count of unanswered
   * polls.
   *
   * @param clockMillis the reading of the worker's clock in milliseconds
   * @param now when the answer arrived, by the local monotonic clock
   */
  public void recordAnswerWithClock(long clockMillis, Instant now) {
    clock = Optional.of(WorkerClock.ofReading(clockMillis, now));
    unansweredPolls = 0;
    recordAnswer();
    updateLeaseExpiry();
  }

  /**
   * Records that a report of this incarnation has been received in this scheduler's term.
   *
   * @param report the report
   * @param requestedAt when the poll that it answers was sent, by the local monotonic clock
   * @param now when it arrived, by the local monotonic clock
   */
  public void recordReport(WorkerRunReport report, Instant requestedAt, Instant now) {
    reportComplete = !report.moreEnds();
    evidence.recordReport(report.clockMillis(), requestedAt, now);
    recordAnswerWithClock(report.clockMillis(), now);
    markReportReceived();
  }

  /**
   * Returns whether a report that states no other incarnation comes from a later one all the same.
   *
   * @param report the report
   * @param requestedAt when the poll that it answers was sent, by the local monotonic clock
   * @return whether the worker's clock ran back
   */
  public boolean showsReplacement(WorkerRunReport report, Instant requestedAt) {
    return evidence.ranBack(report.clockMillis(), requestedAt);
  }

  /** Records that a report has been received in this scheduler's term. */
  public void markReportReceived() {
    reportReceived = true;
    liveListEntry = liveListEntry.confirmed();
    updateLeaseExpiry();
  }

  /**
   * Returns the end of a lease that begins now.
   *
   * @param length the length of the lease
   * @param now the reading of the local monotonic clock
   * @return the end in milliseconds of the worker's clock; empty if its clock is not known yet
   */
  public Optional<Long> leaseUntil(Duration length, Instant now) {
    return clock.map(workerClock -> workerClock.expectedReadingAt(now) + length.toMillis());
  }

  /**
   * Records that a lease is being sent; it counts as granted whether or not the worker answers.
   *
   * @param untilMillis the end of the lease in milliseconds of the worker's clock
   */
  public void recordLeaseGranted(long untilMillis) {
    leaseGrantedUntilMillis = Math.max(leaseGrantedUntilMillis, untilMillis);
    updateLeaseExpiry();
  }

  /**
   * Records that leases granted through an earlier incarnation or scheduler may last longer than
   * was known.
   */
  public void extendInheritedLease(Instant until) {
    if (until.isAfter(inheritedLeaseUntil)) {
      inheritedLeaseUntil = until;
    }
    if (until.isAfter(leaseExpiresAt)) {
      leaseExpiresAt = until;
    }
  }

  private void updateLeaseExpiry() {
    if (reportReceived && clock.isPresent()) {
      Instant ownLeaseExpiry =
          clock.get().instantSurelyPast(leaseGrantedUntilMillis).plus(EXPIRY_MARGIN);
      leaseExpiresAt =
          ownLeaseExpiry.isAfter(inheritedLeaseUntil) ? ownLeaseExpiry : inheritedLeaseUntil;
    }
  }

  /**
   * Returns when every run on the worker has surely ended unless its lease is extended, by the
   * local monotonic clock.
   */
  public Instant leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /** Returns the number up to which the reported ends of runs have been processed. */
  public long processedEndNumber() {
    return processedEndNumber;
  }

  /** Records that the ends up to and including a number have been processed. */
  public void recordProcessedEnds(long upTo) {
    processedEndNumber = Math.max(processedEndNumber, upTo);
  }

  /** Records that the ends up to and including a number are stored in the journal. */
  public void recordStoredEnds(long upTo) {
    storedEndNumber = Math.max(storedEndNumber, upTo);
  }

  /**
   * Returns the number up to which the next poll may acknowledge ends, or 0 for none.
   *
   * <p>Each incarnation numbers its ends from 1, and a poll makes the incarnation that it reaches
   * forget its ends up to the acknowledged number. A later incarnation can have ended a run only if
   * a start order reached it. So nothing is acknowledged while a start order is in flight, nor
   * after a call without an answer until this incarnation has reported again, and no number is
   * repeated once a poll with it was answered.
   */
  public long endNumberToAcknowledge() {
    return hasEndsToAcknowledge() && mayAcknowledgeEnds() ? storedEndNumber : 0;
  }

  /** Returns whether an acknowledgement would reach this incarnation, or one without ended runs. */
  public boolean mayAcknowledgeEnds() {
    return evidence.isConfirmed() && runs.values().stream().noneMatch(TrackedRun::isStartInFlight);
  }

  /** Returns the number up to which the ends of this incarnation are stored in the journal. */
  public long storedEndNumber() {
    return storedEndNumber;
  }

  /** Returns whether stored ends have not been acknowledged to the worker yet. */
  public boolean hasEndsToAcknowledge() {
    return storedEndNumber > acknowledgedEndNumber;
  }

  /** Returns whether processed ends are not stored in the journal yet. */
  public boolean hasUnstoredEnds() {
    return processedEndNumber > storedEndNumber;
  }

  /** Records that a poll is being sent; the next one is due at the given instant. */
  public void recordPollSent(Instant nextAt) {
    pollInFlight = true;
    nextPollAt = nextAt;
  }

  /**
   * Records that a poll was answered.
   *
   * @param acknowledgedUpTo the number up to which the poll acknowledged ends
   */
  public void recordPollAnswered(long acknowledgedUpTo) {
    pollInFlight = false;
    acknowledgedEndNumber = Math.max(acknowledgedEndNumber, acknowledgedUpTo);
  }

  /** Records that a poll was not answered; the next one is due at the given instant. */
  public void recordPollUnanswered(Instant now, Instant nextAt) {
    evidence.recordDoubt(now);
    pollInFlight = false;
    unansweredPolls++;
    nextPollAt = nextAt;
  }

  /** Returns how many consecutive polls have not been answered. */
  public int unansweredPolls() {
    return unansweredPolls;
  }

  /** Returns whether a poll is in flight. */
  public boolean pollInFlight() {
    return pollInFlight;
  }

  /** Returns when the next poll is due. */
  public Instant nextPollAt() {
    return nextPollAt;
  }

  /** Makes the next poll due no later than an instant. */
  public void schedulePollBy(Instant instant) {
    if (instant.isBefore(nextPollAt)) {
      nextPollAt = instant;
    }
  }
}
