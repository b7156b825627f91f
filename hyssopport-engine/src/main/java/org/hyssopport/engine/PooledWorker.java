package org.hyssopport.engine;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerId;

/**
 * A worker of this failure domain: its lease, ledger and health as this entry instance sees them.
 */
final class PooledWorker {

  private final WorkerId id;
  private final WorkerFailureTracker failureTracker = WorkerFailureTracker.create();
  private final Map<AttemptId, Instant> extensions = new HashMap<>();
  private LiveInstance instance;
  private WorkerLedger ledger;
  private LeaseState state = LeaseState.UNHELD;
  private long token;
  private String bootId = "";
  private Instant leaseDeadline = Instant.EPOCH;
  private Instant grantedAt = Instant.EPOCH;
  private Instant lastReportAt = Instant.EPOCH;
  private Instant nextLeaseCall = Instant.EPOCH;
  private Instant nextReport = Instant.EPOCH;
  private Instant leaseCallSentAt = Instant.EPOCH;
  private boolean leaseCallInFlight;
  private boolean reportInFlight;
  private boolean reportedLeaving;
  private boolean clockSuspect;
  private Optional<EntryId> otherHolder = Optional.empty();
  private String preferredMember = "";
  private Instant preferredSince = Instant.EPOCH;

  PooledWorker(LiveInstance instance) {
    this.id = new WorkerId(instance.name());
    this.instance = instance;
    this.ledger = newLedger();
  }

  private WorkerLedger newLedger() {
    return WorkerLedger.of(instance.capacity(), instance.slots(), instance.connections());
  }

  WorkerId id() {
    return id;
  }

  LiveInstance instance() {
    return instance;
  }

  void setInstance(LiveInstance newInstance) {
    instance = newInstance;
  }

  WorkerFailureTracker failureTracker() {
    return failureTracker;
  }

  WorkerLedger ledger() {
    return ledger;
  }

  LeaseState state() {
    return state;
  }

  long token() {
    return token;
  }

  String bootId() {
    return bootId;
  }

  Instant leaseDeadline() {
    return leaseDeadline;
  }

  /** Returns when the lease was granted, by the worker's clock. */
  Instant grantedAt() {
    return grantedAt;
  }

  boolean isLeaving() {
    return reportedLeaving || instance.state() == LiveInstance.State.LEAVING;
  }

  void recordLeaving(boolean leaving) {
    reportedLeaving = reportedLeaving || leaving;
  }

  boolean isClockSuspect() {
    return clockSuspect;
  }

  void setClockSuspect(boolean suspect) {
    clockSuspect = suspect;
  }

  /** Returns the other instance that was last known to hold the lease. */
  Optional<EntryId> otherHolder() {
    return otherHolder;
  }

  void setOtherHolder(EntryId holder) {
    otherHolder = Optional.of(holder);
  }

  /** Returns the name of the member that should hold the lease; empty if there is none. */
  String preferredMember() {
    return preferredMember;
  }

  Instant preferredSince() {
    return preferredSince;
  }

  void setPreferredMember(String member, Instant now) {
    if (!member.equals(preferredMember)) {
      preferredMember = member;
      preferredSince = now;
    }
  }

  /**
   * Returns whether work may be placed on the worker now.
   *
   * <p>The lease counts only until the clock bound before its deadline, so that it still holds even
   * if the worker's clock is ahead by as much.
   */
  boolean mayPlace(Instant now, EngineSettings settings) {
    return state == LeaseState.ACTIVE
        && !isLeaving()
        && !clockSuspect
        && now.isBefore(leaseDeadline.minus(settings.clockBound()))
        && failureTracker.mayGetWork(now, ledger.isEmpty());
  }

  void startAcquiring(Instant now) {
    state = LeaseState.ASKING;
    recordLeaseCallStarted(now);
  }

  void recordGrant(long newToken, Instant deadline, Instant workerInstant, String newBootId) {
    ledger = newLedger();
    extensions.clear();
    state = LeaseState.SETTLING;
    token = newToken;
    leaseDeadline = deadline;
    grantedAt = workerInstant;
    lastReportAt = Instant.EPOCH;
    nextReport = Instant.EPOCH;
    bootId = newBootId;
    otherHolder = Optional.empty();
  }

  void recordRenewal(Instant deadline) {
    leaseDeadline = deadline;
  }

  void activate() {
    state = LeaseState.ACTIVE;
  }

  void startReleasing(Instant now) {
    state = LeaseState.RELEASING;
    recordLeaseCallStarted(now);
  }

  void markUnheld(Instant retryAt) {
    state = LeaseState.UNHELD;
    ledger = newLedger();
    extensions.clear();
    nextLeaseCall = retryAt;
  }

  /** Returns when the lease is to be acquired or renewed next. */
  Instant nextLeaseCall() {
    return nextLeaseCall;
  }

  void scheduleLeaseCallAt(Instant instant) {
    nextLeaseCall = instant;
  }

  Instant leaseCallSentAt() {
    return leaseCallSentAt;
  }

  boolean isLeaseCallInFlight() {
    return leaseCallInFlight;
  }

  void recordLeaseCallStarted(Instant now) {
    leaseCallInFlight = true;
    leaseCallSentAt = now;
  }

  void recordLeaseCallEnded() {
    leaseCallInFlight = false;
  }

  boolean isReportDue(Instant now) {
    return !reportInFlight && !now.isBefore(nextReport);
  }

  void recordReportStarted(Instant nextDue) {
    reportInFlight = true;
    nextReport = nextDue;
  }

  void recordReportEnded() {
    reportInFlight = false;
  }

  /**
   * Records the time of a report, unless a report at least as new was recorded before.
   *
   * @return whether the report is newer than every earlier one
   */
  boolean recordReportIfNewer(Instant reportInstant) {
    if (!reportInstant.isAfter(lastReportAt)) {
      return false;
    }
    lastReportAt = reportInstant;
    return true;
  }

  void addExtension(WorkerCall.Extension extension) {
    extensions.put(extension.attempt(), extension.horizon());
  }

  /** Returns the extended horizons that the worker has not confirmed with a renewal yet. */
  Map<AttemptId, Instant> extensions() {
    return extensions;
  }
}
