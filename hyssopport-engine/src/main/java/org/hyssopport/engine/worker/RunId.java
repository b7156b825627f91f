package org.hyssopport.engine.worker;

import org.hyssopport.engine.job.TaskId;

/**
 * One run of a task.
 *
 * @param task the task
 * @param run the number of the run
 * @since 0.2
 */
public record RunId(TaskId task, int run) {
  // Written out, as each order and each reported run is looked up by it.
  @Override
  public boolean equals(Object object) {
    return object instanceof RunId other && run == other.run && task.equals(other.task);
  }

  @Override
  public int hashCode() {
    return 31 * task.hashCode() + run;
  }
}
