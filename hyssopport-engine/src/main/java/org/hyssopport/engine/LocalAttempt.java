package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.CloseCause;

/** An open attempt on a worker that this instance holds. */
final class LocalAttempt {

  private final AttemptId id;
  private final String job;
  private final int task;
  private final WorkerId worker;
  private Phase phase;
  private Instant nextTry = Instant.EPOCH;
  private Instant nextExtension = Instant.EPOCH;
  private Instant runningSince = Instant.EPOCH;
  private CloseCause causeIfStopped = CloseCause.PREEMPTED;
  private Optional<CloseCause> cause = Optional.empty();

  LocalAttempt(AttemptId id, String job, int task, WorkerId worker, Phase phase) {
    this.id = id;
    this.job = job;
    this.task = task;
    this.worker = worker;
    this.phase = phase;
  }

  AttemptId id() {
    return id;
  }

  String job() {
    return job;
  }

  int task() {
    return task;
  }

  WorkerId worker() {
    return worker;
  }

  Phase phase() {
    return phase;
  }

  void moveTo(Phase newPhase, Instant newNextTry) {
    phase = newPhase;
    nextTry = newNextTry;
  }

  boolean isDue(Instant now) {
    return !now.isBefore(nextTry);
  }

  void scheduleRetryAt(Instant instant) {
    nextTry = instant;
  }

  boolean isExtensionDue(Instant now) {
    return !now.isBefore(nextExtension);
  }

  void scheduleExtensionAt(Instant instant) {
    nextExtension = instant;
  }

  Instant runningSince() {
    return runningSince;
  }

  void markRunning(Instant since) {
    phase = Phase.RUNNING;
    runningSince = since;
  }

  void startStopping(CloseCause newCauseIfStopped, Instant now) {
    phase = Phase.STOPPING;
    causeIfStopped = newCauseIfStopped;
    nextTry = now;
  }

  CloseCause causeIfStopped() {
    return causeIfStopped;
  }

  void startClosing(CloseCause newCause, Instant now) {
    phase = Phase.CLOSING;
    cause = Optional.of(newCause);
    nextTry = now;
  }

  CloseCause cause() {
    return cause.orElseThrow();
  }

  /** What has to be done next. */
  enum Phase {
    /** The start is being sent. */
    STARTING,
    /** The worker is asked what it knows. */
    RESOLVING,
    /** It runs. */
    RUNNING,
    /** It is being stopped. */
    STOPPING,
    /** Its close is being appended. */
    CLOSING
  }
}
