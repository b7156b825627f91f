package org.hyssopport.policy;

/**
 * The kinds of work, each with its own scheduling behaviour.
 *
 * @since 0.1
 */
public enum WorkKind {
  /** A request that a caller waits for. */
  SERVICE(false, 1, false),
  /** Independent tasks that may wait. */
  BATCH(true, 10_000, false),
  /** Tasks that start all together or not at all. */
  GANG(true, 1_000, true);

  private final boolean durable;
  private final int maximumTasks;
  private final boolean startsTogether;

  WorkKind(boolean durable, int maximumTasks, boolean startsTogether) {
    this.durable = durable;
    this.maximumTasks = maximumTasks;
    this.startsTogether = startsTogether;
  }

  /** Tells whether accepted work of this kind is kept in the log until it ends. */
  public boolean isDurable() {
    return durable;
  }

  /** Returns the largest number of tasks that one job of this kind may have. */
  public int maximumTasks() {
    return maximumTasks;
  }

  /** Tells whether all tasks of a job start together or not at all. */
  public boolean startsTogether() {
    return startsTogether;
  }
}
