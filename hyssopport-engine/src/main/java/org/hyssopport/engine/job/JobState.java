package org.hyssopport.engine.job;

/**
 * The state of a job as callers see it.
 *
 * @since 0.2
 */
public enum JobState {
  /** No task has started yet. */
  QUEUED(false),
  /** A task has started. */
  RUNNING(false),
  /** All tasks are done. */
  COMPLETE(true),
  /** A task or a gang has failed as often as the queue allows. */
  FAILED(true),
  /** A caller has cancelled the job. */
  CANCELLED(true);

  private final boolean terminal;

  JobState(boolean terminal) {
    this.terminal = terminal;
  }

  /** Returns whether the state is final: no task of the job will run any more. */
  public boolean isTerminal() {
    return terminal;
  }
}
