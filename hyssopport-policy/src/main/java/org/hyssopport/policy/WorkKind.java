package org.hyssopport.policy;

/**
 * A kind of work, which determines how it is scheduled.
 *
 * @since 0.1
 */
public enum WorkKind {
  /** A request that a caller waits for. */
  SERVICE(false, 1, false),
  /** A job whose tasks are independent of each other and may wait. */
  BATCH(true, 10_000, false),
  /** A job whose tasks start all together or not at all. */
  GANG(true, 1_000, true);

  private final boolean durable;
  private final int maximumTasks;
  private final boolean startsTogether;

  WorkKind(boolean durable, int maximumTasks, boolean startsTogether) {
    this.durable = durable;
    this.maximumTasks = maximumTasks;
    this.startsTogether = startsTogether;
  }

  /** Returns whether accepted work of this kind is kept in the log until it ends. */
  public boolean isDurable() {
    return durable;
  }

  /** Returns the maximum number of tasks of a job of this kind. */
  public int maximumTasks() {
    return maximumTasks;
  }

  /** Returns whether the tasks of a job of this kind start all together or not at all. */
  public boolean startsTogether() {
    return startsTogether;
  }
}
