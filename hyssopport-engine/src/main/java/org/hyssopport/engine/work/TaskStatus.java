package org.hyssopport.engine.work;

import java.util.Optional;

/**
 * The state of one task of a job.
 *
 * @param phase the phase of the task
 * @param attempt the number of the latest attempt, 0 before the first
 * @param failures the number of attempts that failed or were lost
 * @param everRan whether any attempt ran or may have run
 * @param placement where the open attempt may run; empty if no attempt is open
 * @param lastCause why the latest closed attempt was closed; empty if none was closed
 * @since 0.1
 */
public record TaskStatus(
    Phase phase,
    int attempt,
    int failures,
    boolean everRan,
    Optional<Placement> placement,
    Optional<CloseCause> lastCause) {

  /** The phases of a task. */
  public enum Phase {
    /** No attempt is open; the next one may be claimed. */
    WAITING,
    /** One attempt is open and may be running. */
    OPEN,
    /** The attempt is closed, but attempts at other tasks of the gang are still open. */
    SETTLED,
    /** The task gets no further attempt. */
    ENDED
  }

  static TaskStatus initial() {
    return new TaskStatus(Phase.WAITING, 0, 0, false, Optional.empty(), Optional.empty());
  }

  TaskStatus withOpenAttempt(int number, Placement newPlacement) {
    return new TaskStatus(
        Phase.OPEN, number, failures, everRan, Optional.of(newPlacement), lastCause);
  }

  TaskStatus withPlacement(Placement newPlacement) {
    return new TaskStatus(phase, attempt, failures, everRan, Optional.of(newPlacement), lastCause);
  }

  TaskStatus withClosedAttempt(Phase next, CloseCause cause) {
    int newFailures = failures + (cause.countsAsFailure() ? 1 : 0);
    boolean newEverRan = everRan || cause.mayHaveRun();
    return new TaskStatus(
        next, attempt, newFailures, newEverRan, Optional.empty(), Optional.of(cause));
  }

  TaskStatus withPhase(Phase next) {
    return new TaskStatus(next, attempt, failures, everRan, placement, lastCause);
  }
}
