package org.hyssopport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.WorkClass;

/** A request from its arrival until its outcome is final. */
final class Request {

  private final String id;
  private final ServiceRequest serviceRequest;
  private final WorkClass workClass;
  private final boolean mayBeForwarded;
  private final List<AnswerRecipient> recipients = new ArrayList<>();
  private final Map<Integer, WorkerSend> workerSends = new HashMap<>();
  private final Set<WorkerId> avoidedWorkers = new HashSet<>();
  private final Set<String> avoidedPeers = new HashSet<>();
  private Phase phase = Phase.WAITING;
  private Instant waitingSince;
  private int attempts;
  private boolean anyMayHaveRun;
  private boolean anyFailed;
  private Optional<EntryId> peer = Optional.empty();
  private Optional<String> claimedKey = Optional.empty();

  Request(
      String id,
      ServiceRequest serviceRequest,
      WorkClass workClass,
      boolean mayBeForwarded,
      Instant now) {
    this.id = id;
    this.serviceRequest = serviceRequest;
    this.workClass = workClass;
    this.mayBeForwarded = mayBeForwarded;
    this.waitingSince = now;
  }

  String id() {
    return id;
  }

  ServiceRequest serviceRequest() {
    return serviceRequest;
  }

  WorkClass workClass() {
    return workClass;
  }

  Instant deadline() {
    return serviceRequest.deadline().orElseThrow();
  }

  boolean isRepeatable() {
    return serviceRequest.repeatable();
  }

  /**
   * Returns whether this instance may queue, retry and forward the request. False for a request
   * that a peer forwarded here to be started at once or declined, and for one that another instance
   * runs as the issuer of its ticket.
   */
  boolean mayBeForwarded() {
    return mayBeForwarded;
  }

  List<AnswerRecipient> recipients() {
    return recipients;
  }

  Phase phase() {
    return phase;
  }

  Instant waitingSince() {
    return waitingSince;
  }

  int attempts() {
    return attempts;
  }

  Optional<EntryId> peer() {
    return peer;
  }

  /** Returns the idempotency key that this request claimed in the log, if any. */
  Optional<String> claimedKey() {
    return claimedKey;
  }

  void setClaimedKey(String key) {
    claimedKey = Optional.of(key);
  }

  Optional<WorkerSend> workerSend(int attempt) {
    return Optional.ofNullable(workerSends.get(attempt));
  }

  boolean avoids(WorkerId worker) {
    return avoidedWorkers.contains(worker);
  }

  boolean avoids(String peerName) {
    return avoidedPeers.contains(peerName);
  }

  void avoid(WorkerId worker) {
    avoidedWorkers.add(worker);
  }

  void avoid(String peerName) {
    avoidedPeers.add(peerName);
  }

  AttemptId currentAttempt() {
    return new AttemptId(id, attempts);
  }

  /** Returns whether an attempt ran and failed. */
  boolean hasFailed() {
    return anyFailed;
  }

  void markFailed() {
    anyFailed = true;
  }

  /** Returns whether an attempt may have run and its end is not known. */
  boolean mayHaveRun() {
    return anyMayHaveRun;
  }

  void markMayHaveRun() {
    anyMayHaveRun = true;
  }

  AttemptId recordSend(WorkerSend send) {
    attempts++;
    phase = Phase.AT_WORKER;
    peer = Optional.empty();
    workerSends.put(attempts, send);
    return currentAttempt();
  }

  AttemptId recordSend(EntryId newPeer) {
    attempts++;
    phase = Phase.AT_PEER;
    peer = Optional.of(newPeer);
    return currentAttempt();
  }

  void moveTo(Phase newPhase) {
    phase = newPhase;
  }

  void moveToWaiting(Instant now) {
    phase = Phase.WAITING;
    waitingSince = now;
    peer = Optional.empty();
  }

  /** The phases of a request. */
  enum Phase {
    /** Its idempotency key is being claimed in the log. */
    CLAIMING,
    /** It waits on this instance for a slot. */
    WAITING,
    /** It was sent to a worker, and the answer is awaited. */
    AT_WORKER,
    /** It was forwarded to a peer, and the answer is awaited. */
    AT_PEER,
    /** The worker's answer was lost, and the worker is asked for the state of the attempt. */
    RESOLVING,
    /** Its outcome is final. */
    FINISHED
  }

  /**
   * An attempt that was sent to a worker.
   *
   * @param worker the worker
   * @param token the token of the worker's lease
   * @param bootId the id of the worker's boot
   * @param notAfter the worker refuses the start after this time
   * @param sentAt when it was sent
   */
  record WorkerSend(WorkerId worker, long token, String bootId, Instant notAfter, Instant sentAt) {}
}
