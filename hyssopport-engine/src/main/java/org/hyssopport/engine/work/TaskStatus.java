package org.hyssopport.engine.work;

import java.util.Optional;

/**
 * The state of one task of a job.
 *
 * @param phase where it stands
 * @param attempt the number of the latest attempt, 0 before the first
 * @param failures how many attempts failed or were lost
 * @param everRan whether any attempt ran or may have run
 * @param placement where the open attempt may run
 * @param lastCause how the latest closed attempt was closed
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
    /** No attempt is open. */
    WAITING,
    /** One attempt is open: it may run now. */
    OPEN,
    /** Its attempt is closed and it waits for the other tasks of its gang. */
    SETTLED,
    /** It needs no further attempt. */
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
