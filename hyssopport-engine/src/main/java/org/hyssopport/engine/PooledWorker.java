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

/** One worker of the failure domain: its lease, its ledger and its health as seen here. */
final class PooledWorker {

  private final WorkerId id;
  private final WorkerFailureTracker health = WorkerFailureTracker.good();
  private final Map<AttemptId, Instant> extensions = new HashMap<>();
  private LiveInstance instance;
  private WorkerLedger ledger;
  private LeaseState state = LeaseState.UNHELD;
  private long token;
  private String bootId = "";
  private Instant leaseDeadline = Instant.EPOCH;
  private Instant grantedAt = Instant.EPOCH;
  private Instant lastReportAt = Instant.EPOCH;
  private Instant nextAction = Instant.EPOCH;
  private Instant nextReport = Instant.EPOCH;
  private Instant callSentAt = Instant.EPOCH;
  private boolean callInFlight;
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

  void update(LiveInstance newInstance) {
    instance = newInstance;
  }

  WorkerFailureTracker health() {
    return health;
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

  Instant grantedAt() {
    return grantedAt;
  }

  boolean isLeaving() {
    return reportedLeaving || instance.state() == LiveInstance.State.LEAVING;
  }

  void reportLeaving(boolean leaving) {
    reportedLeaving = reportedLeaving || leaving;
  }

  boolean isClockSuspect() {
    return clockSuspect;
  }

  void suspectClock(boolean suspect) {
    clockSuspect = suspect;
  }

  Optional<EntryId> otherHolder() {
    return otherHolder;
  }

  void heldBy(EntryId holder) {
    otherHolder = Optional.of(holder);
  }

  String preferredMember() {
    return preferredMember;
  }

  Instant preferredSince() {
    return preferredSince;
  }

  void prefer(String member, Instant now) {
    if (!member.equals(preferredMember)) {
      preferredMember = member;
      preferredSince = now;
    }
  }

  /** Tells whether a start sent now would come under a lease that surely still holds. */
  boolean mayPlace(Instant now, EngineSettings settings) {
    return state == LeaseState.ACTIVE
        && !isLeaving()
        && !clockSuspect
        && now.isBefore(leaseDeadline.minus(settings.clockBound()))
        && health.mayGetWork(now, ledger.isEmpty());
  }

  void ask(Instant now) {
    state = LeaseState.ASKING;
    callStarted(now);
  }

  void grant(long newToken, Instant deadline, Instant workerInstant, String newBootId) {
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

  void renew(Instant deadline) {
    leaseDeadline = deadline;
  }

  void settle() {
    state = LeaseState.ACTIVE;
  }

  void startReleasing(Instant now) {
    state = LeaseState.RELEASING;
    callStarted(now);
  }

  void lose(Instant retryAt) {
    state = LeaseState.UNHELD;
    ledger = newLedger();
    extensions.clear();
    nextAction = retryAt;
  }

  Instant nextAction() {
    return nextAction;
  }

  void actAt(Instant instant) {
    nextAction = instant;
  }

  Instant callSentAt() {
    return callSentAt;
  }

  boolean isCallInFlight() {
    return callInFlight;
  }

  void callStarted(Instant now) {
    callInFlight = true;
    callSentAt = now;
  }

  void callEnded() {
    callInFlight = false;
  }

  boolean isReportDue(Instant now) {
    return !reportInFlight && !now.isBefore(nextReport);
  }

  void reportStarted(Instant nextDue) {
    reportInFlight = true;
    nextReport = nextDue;
  }

  void reportEnded() {
    reportInFlight = false;
  }

  /** Takes the moment of a report, and tells whether it is newer than every earlier one. */
  boolean advanceReport(Instant reportInstant) {
    if (!reportInstant.isAfter(lastReportAt)) {
      return false;
    }
    lastReportAt = reportInstant;
    return true;
  }

  void extend(WorkerCall.Extension extension) {
    extensions.put(extension.attempt(), extension.horizon());
  }

  Map<AttemptId, Instant> extensions() {
    return extensions;
  }
}
