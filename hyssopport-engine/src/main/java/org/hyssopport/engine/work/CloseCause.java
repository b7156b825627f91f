package org.hyssopport.engine.work;

/**
 * Why an attempt was closed.
 *
 * @since 0.1
 */
public enum CloseCause {
  /** It ran to its end. */
  DONE(true, true, false),
  /** It ran and failed. */
  FAILED(false, true, true),
  /** It is proved that it did not run. */
  NOT_RUN(false, false, false),
  /** It may have run, and surely runs no more. */
  LOST(false, true, true),
  /** It was stopped to make room and may go on from its checkpoint. */
  PREEMPTED(false, true, false),
  /** It was stopped because its job was cancelled. */
  CANCELLED(true, true, false);

  private final boolean endsTask;
  private final boolean mayHaveRun;
  private final boolean countsAsFailure;

  CloseCause(boolean endsTask, boolean mayHaveRun, boolean countsAsFailure) {
    this.endsTask = endsTask;
    this.mayHaveRun = mayHaveRun;
    this.countsAsFailure = countsAsFailure;
  }

  /** Tells whether the task needs no further attempt. */
  public boolean endsTask() {
    return endsTask;
  }

  /** Tells whether the attempt ran or may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Tells whether the close uses up one of the task's attempts. */
  public boolean countsAsFailure() {
    return countsAsFailure;
  }
}
