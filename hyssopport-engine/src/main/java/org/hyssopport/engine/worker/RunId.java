package org.hyssopport.engine.worker;

import org.hyssopport.engine.job.TaskId;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param number the number of the run; a task's later runs have higher numbers
 * @since 0.2
 */
public record RunId(TaskId task, int number) {
  // Hand-written for speed: every order and every reported run is looked up by this key.
  @Override
  public boolean equals(Object object) {
    return object instanceof RunId other && number == other.number && task.equals(other.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + number;
  }
}
