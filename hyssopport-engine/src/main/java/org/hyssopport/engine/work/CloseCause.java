package org.hyssopport.engine.work;

/**
 * Why an attempt was closed.
 *
 * @since 0.1
 */
public enum CloseCause {
  /** The attempt ran to completion. */
  DONE(true, true, false),
  /** The attempt ran and failed. */
  FAILED(false, true, true),
  /** The attempt provably did not run. */
  NOT_RUN(false, false, false),
  /** The attempt may have run, and certainly is not running any more. */
  LOST(false, true, true),
  /**
   * The attempt was stopped to free capacity, to abort its gang, or because its horizon was not
   * extended in time; its task may continue from its checkpoint.
   */
  PREEMPTED(false, true, false),
  /** The attempt was stopped because its job was cancelled. */
  CANCELLED(true, true, false);

  private final boolean endsTask;
  private final boolean mayHaveRun;
  private final boolean countsAsFailure;

  CloseCause(boolean endsTask, boolean mayHaveRun, boolean countsAsFailure) {
    this.endsTask = endsTask;
    this.mayHaveRun = mayHaveRun;
    this.countsAsFailure = countsAsFailure;
  }

  /** Returns whether the task needs no further attempt. */
  public boolean endsTask() {
    return endsTask;
  }

  /** Returns whether the attempt ran or may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the close counts towards the task's maximum number of failures. */
  public boolean countsAsFailure() {
    return countsAsFailure;
  }
}
