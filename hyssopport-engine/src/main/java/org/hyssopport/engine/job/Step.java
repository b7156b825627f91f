package org.hyssopport.engine.job;

import java.util.ArrayList;
import java.util.List;

/**
 * One step of one occurrence of a job, with its tasks.
 *
 * @since 0.2
 */
public final class Step {

  private final Job job;
  private final StepId id;
  private final StepDefinition definition;
  private final List<Task> tasks = new ArrayList<>();
  private int doneTasks;

  Step(Job job, StepId id, StepDefinition definition) {
    this.job = job;
    this.id = id;
    this.definition = definition;
    for (int index = 0; index < definition.tasks(); index++) {
      tasks.add(Task.waiting(new TaskId(id, index)));
    }
  }

  /** Returns the job that the step belongs to. */
  public Job job() {
    return job;
  }

  /** Returns the id of the step. */
  public StepId id() {
    return id;
  }

  /** Returns the definition that the caller declared. */
  public StepDefinition definition() {
    return definition;
  }

  /** Returns its tasks. */
  public List<Task> tasks() {
    return tasks;
  }

  /** Returns whether the step has a task with an index; another process may name any index. */
  public boolean hasTask(int index) {
    return index >= 0 && index < tasks.size();
  }

  /** Returns the task with an index, from 0. */
  public Task task(int index) {
    return tasks.get(index);
  }

  /** Returns whether all its tasks are done. */
  public boolean done() {
    return doneTasks == tasks.size();
  }

  /** Returns the tasks that are neither done nor assigned to a worker. */
  public List<Task> waitingTasks() {
    return tasks.stream().filter(Task::isWaiting).toList();
  }

  /**
   * Returns whether any task waits for placement; in a gang, whether all do, since it is placed as
   * a whole.
   */
  public boolean isPlaceable() {
    return definition.gang()
        ? tasks.stream().allMatch(Task::isWaiting)
        : tasks.stream().anyMatch(Task::isWaiting);
  }

  /**
   * Returns a run number above all that the step's tasks have used; the runs of a gang share it.
   */
  public int nextRunNumber() {
    return tasks.stream().mapToInt(Task::lastRunNumber).max().orElse(0) + 1;
  }

  /**
   * Returns how often the task that failed most often has failed; in a gang, how many of its runs
   * have failed.
   */
  public int failures() {
    return definition.gang()
        ? tasks.stream().mapToInt(Task::failures).sum()
        : tasks.stream().mapToInt(Task::failures).max().orElse(0);
  }

  /** Records that a task is done; a gang is done as a whole. */
  public void markTaskDone(Task task) {
    if (definition.gang()) {
      tasks.forEach(Task::markDone);
      doneTasks = tasks.size();
    } else if (!task.done()) {
      task.markDone();
      doneTasks++;
    }
  }

  /**
   * Records a failed run of a task. It is counted once, however often its end is reported, and in a
   * gang however many tasks fail in it.
   *
   * @param task a task of this step
   * @param runNumber the number of the run
   * @return whether the run is counted now, and was not before
   */
  public boolean recordFailedRun(Task task, int runNumber) {
    boolean counted =
        definition.gang()
            ? tasks.stream().anyMatch(gangTask -> gangTask.hasFailedRun(runNumber))
            : task.hasFailedRun(runNumber);
    if (!counted) {
      task.addFailedRun(runNumber);
    }
    return !counted;
  }

  /** Saves a checkpoint of a task, or of all tasks of a gang; an empty one is ignored. */
  public void saveCheckpoint(Task task, String checkpoint) {
    if (definition.gang()) {
      tasks.forEach(gangTask -> gangTask.saveCheckpoint(checkpoint));
    } else {
      task.saveCheckpoint(checkpoint);
    }
  }

  void restore(TaskProgress progress) {
    Task task = tasks.get(progress.index());
    task.restore(progress);
    doneTasks = (int) tasks.stream().filter(Task::done).count();
  }

  @Override
  public String toString() {
    return id.toString();
  }
}
