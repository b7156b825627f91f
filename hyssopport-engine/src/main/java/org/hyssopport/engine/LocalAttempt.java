package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.CloseCause;

/** An open attempt that {@link AttemptManager} manages on a worker whose lease is held here. */
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

  /** Returns the cause to close the attempt with if the worker reports that it was stopped. */
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

  /** The phase of an attempt, which determines what is done next. */
  enum Phase {
    /** The start is sent to the worker, repeatedly until it is answered. */
    STARTING,
    /** The worker is asked for the state of the attempt. */
    RESOLVING,
    /** The attempt runs. */
    RUNNING,
    /** The stop is sent to the worker, repeatedly until the attempt has ended. */
    STOPPING,
    /** The close is appended to the log, repeatedly until it is read back. */
    CLOSING
  }
}
