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
 * One incarnation of a worker as the scheduler holds it: its lease and the ledger of its runs.
 *
 * @since 0.2
 */
public final class TrackedWorker {

  /** Covers the rounding of clocks to whole milliseconds and the way of one answer. */
  private static final Duration EXPIRY_MARGIN = Duration.ofMillis(100);

  /** One look may be lost on its way; a worker that misses two gets no new work. */
  private static final int UNANSWERED_POLL_THRESHOLD = 2;

  /** An assumption: above the milliseconds of a sound worker, below the 0.7 s of a time-out. */
  private static final Duration EXPECTED_ANSWER_TIME = Duration.ofMillis(150);

  private final WorkerCircuitBreaker circuitBreaker = WorkerCircuitBreaker.create();
  private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();
  private WorkerDescription description;
  private boolean listed = true;
  private boolean reportReceived;
  private Resources used = Resources.NONE;
  private Optional<WorkerClock> clock = Optional.empty();
  private long leaseGrantedUntil;
  private final Instant inheritedLeaseUntil;
  private Instant leaseExpiresAt;
  private long lastEndNumber;
  private long storedEndNumber;
  private long acknowledgedEndNumber;
  private boolean pollInFlight;
  private Instant nextPollAt = Instant.MIN;
  private int unansweredPolls;
  private Optional<Instant> awaitingAnswerSince = Optional.empty();

  private TrackedWorker(WorkerDescription description, Instant inheritedLeaseUntil) {
    this.description = description;
    this.inheritedLeaseUntil = inheritedLeaseUntil;
    this.leaseExpiresAt = inheritedLeaseUntil;
  }

  /**
   * Returns a hold on a worker that was not read yet.
   *
   * @param description the worker
   * @param inheritedLeaseUntil when the last lease that an earlier scheduler could have granted is
   *     over
   * @return the hold
   */
  public static TrackedWorker withoutReport(
      WorkerDescription description, Instant inheritedLeaseUntil) {
    return new TrackedWorker(description, inheritedLeaseUntil);
  }

  /** Returns the worker as it last described itself. */
  public WorkerDescription description() {
    return description;
  }

  /** Returns the worker's id. */
  public WorkerId id() {
    return description.id();
  }

  /** Takes a newer description of the same incarnation. */
  public void updateDescription(WorkerDescription newer) {
    description = newer;
    listed = true;
  }

  /** Notes that the live list does not name the worker any more. */
  public void markUnlisted() {
    listed = false;
  }

  /** Tells whether the live list names it. */
  public boolean listed() {
    return listed;
  }

  /** Tells whether it was read since this scheduler's term began. */
  public boolean reportReceived() {
    return reportReceived;
  }

  /** Returns its health. */
  public WorkerCircuitBreaker circuitBreaker() {
    return circuitBreaker;
  }

  /** Notes that an order leaves, which a sound worker answers within milliseconds. */
  public void recordOrderSent(Instant now) {
    if (awaitingAnswerSince.isEmpty()) {
      awaitingAnswerSince = Optional.of(now);
    }
  }

  /** Notes an answer of whatever kind. */
  public void recordAnswer() {
    awaitingAnswerSince = Optional.empty();
  }

  /** Tells whether it has left an order without an answer for longer than sound workers do. */
  public boolean isSuspect(Instant now) {
    return awaitingAnswerSince
        .filter(since -> now.isAfter(since.plus(EXPECTED_ANSWER_TIME)))
        .isPresent();
  }

  /** Tells whether new work may be placed on it. */
  public boolean acceptsWork() {
    return reportReceived
        && listed
        && !description.draining()
        && unansweredPolls < UNANSWERED_POLL_THRESHOLD;
  }

  /** Returns the room that no run takes. */
  public Resources freeResources() {
    return description.capacity().minus(used);
  }

  /** Returns its runs. */
  public Collection<TrackedRun> runs() {
    return runs.values();
  }

  /** Returns one of its runs. */
  public Optional<TrackedRun> run(RunId runId) {
    return Optional.ofNullable(runs.get(runId));
  }

  /** Takes room for a run. */
  public void add(TrackedRun run) {
    if (runs.putIfAbsent(run.id(), run) != null) {
      throw new IllegalStateException("run is held already: " + run.id());
    }
    used = used.plus(run.demand());
  }

  /** Gives back the room of a run; returns false if it is not held. */
  public boolean remove(RunId runId) {
    TrackedRun removed = runs.remove(runId);
    if (removed == null) {
      return false;
    }
    used = used.minus(removed.demand());
    return true;
  }

  /** Notes an answer that shows the worker's clock. */
  public void recordAnswerWithClock(long clockMillis, Instant now) {
    clock = Optional.of(WorkerClock.ofReading(clockMillis, now));
    unansweredPolls = 0;
    recordAnswer();
    updateLeaseExpiry();
  }

  /** Notes that a report was read in this term. */
  public void markReportReceived() {
    reportReceived = true;
    updateLeaseExpiry();
  }

  /** Returns the worker-clock reading until which runs may be leased, if its clock is known. */
  public Optional<Long> leaseUntil(Duration length, Instant now) {
    return clock.map(workerClock -> workerClock.expectedReadingAt(now) + length.toMillis());
  }

  /** Notes that a lease until a worker-clock reading is on its way. */
  public void recordLeaseGranted(long until) {
    leaseGrantedUntil = Math.max(leaseGrantedUntil, until);
    updateLeaseExpiry();
  }

  private void updateLeaseExpiry() {
    if (reportReceived && clock.isPresent()) {
      Instant ownLeaseExpiry = clock.get().instantSurelyPast(leaseGrantedUntil).plus(EXPIRY_MARGIN);
      leaseExpiresAt =
          ownLeaseExpiry.isAfter(inheritedLeaseUntil) ? ownLeaseExpiry : inheritedLeaseUntil;
    }
  }

  /** Returns when all that may run on it has surely ended, if it is not reached again. */
  public Instant leaseExpiresAt() {
    return leaseExpiresAt;
  }

  /** Returns the number of the last end that was taken in. */
  public long lastEndNumber() {
    return lastEndNumber;
  }

  /** Notes that the ends up to a number were taken in. */
  public void recordEnds(long upTo) {
    lastEndNumber = Math.max(lastEndNumber, upTo);
  }

  /** Notes that the ends up to a number are stored. */
  public void recordStoredEnds(long upTo) {
    storedEndNumber = Math.max(storedEndNumber, upTo);
  }

  /** Returns the number up to which ends may be acknowledged. */
  public long storedEndNumber() {
    return storedEndNumber;
  }

  /** Tells whether the worker lists ends that could be acknowledged. */
  public boolean hasEndsToAcknowledge() {
    return storedEndNumber > acknowledgedEndNumber;
  }

  /** Tells whether ends were taken in that are not stored yet. */
  public boolean hasUnstoredEnds() {
    return lastEndNumber > storedEndNumber;
  }

  /** Notes that a look leaves. */
  public void recordPollSent(Instant nextAt) {
    pollInFlight = true;
    nextPollAt = nextAt;
  }

  /** Notes that a look came back. */
  public void recordPollAnswered(long acknowledgedUpTo) {
    pollInFlight = false;
    acknowledgedEndNumber = Math.max(acknowledgedEndNumber, acknowledgedUpTo);
  }

  /** Notes that a look got no answer. */
  public void recordPollUnanswered(Instant nextAt) {
    pollInFlight = false;
    unansweredPolls++;
    nextPollAt = nextAt;
  }

  /** Returns how many looks in a row got no answer. */
  public int unansweredPolls() {
    return unansweredPolls;
  }

  /** Tells whether a look is on its way. */
  public boolean pollInFlight() {
    return pollInFlight;
  }

  /** Returns when the next look is due. */
  public Instant nextPollAt() {
    return nextPollAt;
  }

  /** Makes the next look due no later than an instant. */
  public void schedulePollBy(Instant instant) {
    if (instant.isBefore(nextPollAt)) {
      nextPollAt = instant;
    }
  }
}
