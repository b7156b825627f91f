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
  /** A task has failed as often as its queue allows. */
  FAILED(true),
  /** A caller has cancelled it. */
  CANCELLED(true);

  private final boolean terminal;

  JobState(boolean terminal) {
    this.terminal = terminal;
  }

  /** Tells whether nothing will run for the job any more. */
  public boolean isTerminal() {
    return terminal;
  }
}
