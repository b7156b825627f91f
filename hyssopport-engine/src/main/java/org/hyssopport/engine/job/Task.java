package org.hyssopport.engine.job;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.platform.WorkerId;

/**
 * A task of a step and its progress.
 *
 * @since 0.2
 */
public final class Task {

  private final TaskId id;
  private boolean done;
  private int lastRunNumber;
  private FailedRuns failedRuns = FailedRuns.none();
  private String checkpoint = "";
  private Optional<WorkerId> worker = Optional.empty();
  private long incarnation;
  private final Set<Integer> orphanedRuns = new HashSet<>();

  private Task(TaskId id) {
    this.id = id;
  }

  static Task waiting(TaskId id) {
    return new Task(id);
  }

  /** Returns its id. */
  public TaskId id() {
    return id;
  }

  /** Returns whether it is done. */
  public boolean done() {
    return done;
  }

  /** Returns the highest run number that was used, or 0 if it was never assigned. */
  public int lastRunNumber() {
    return lastRunNumber;
  }

  /**
   * Returns how many of its runs have failed; a failed run of a gang counts for one of its tasks.
   */
  public int failures() {
    return failedRuns.count();
  }

  /** Returns the newest checkpoint, or an empty string. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns the worker that its current run is assigned to, if there is a current run. */
  public Optional<WorkerId> worker() {
    return worker;
  }

  /** Returns the incarnation of the worker that its last run was assigned to. */
  public long incarnation() {
    return incarnation;
  }

  /** Returns whether it is neither done nor assigned to a worker, and no orphaned run is left. */
  public boolean isWaiting() {
    return !done && worker.isEmpty() && orphanedRuns.isEmpty();
  }

  /** Records a run that may run on a worker that the task is not assigned to, until it is over. */
  public void addOrphanedRun(int runNumber) {
    orphanedRuns.add(runNumber);
  }

  /** Records that a run is over; has no effect if the run was not orphaned. */
  public void removeOrphanedRun(int runNumber) {
    orphanedRuns.remove(runNumber);
  }

  /**
   * Assigns a new run to a worker.
   *
   * @param runNumber the number of the run
   * @param toWorker the worker
   * @param toIncarnation the worker's incarnation
   * @throws IllegalArgumentException if the number is not above all earlier ones of this task
   */
  public void assign(int runNumber, WorkerId toWorker, long toIncarnation) {
    if (runNumber <= lastRunNumber) {
      throw new IllegalArgumentException(
          "run number "
              + runNumber
              + " of task "
              + id
              + " must be above the last one, "
              + lastRunNumber);
    }
    lastRunNumber = runNumber;
    worker = Optional.of(toWorker);
    incarnation = toIncarnation;
  }

  /** Records that the current run has ended, so that the task no longer has a worker. */
  public void clearAssignment() {
    worker = Optional.empty();
  }

  void markDone() {
    done = true;
    worker = Optional.empty();
  }

  boolean hasFailedRun(int runNumber) {
    return failedRuns.contains(runNumber);
  }

  void addFailedRun(int runNumber) {
    failedRuns.add(runNumber);
  }

  void saveCheckpoint(String newest) {
    if (!newest.isEmpty()) {
      checkpoint = newest;
    }
  }

  void restore(TaskProgress progress) {
    done = progress.done();
    lastRunNumber = progress.run();
    failedRuns = FailedRuns.of(progress);
    worker = progress.worker();
    incarnation = progress.incarnation();
    checkpoint = progress.checkpoint();
  }

  Optional<TaskProgress> progress() {
    if (lastRunNumber == 0 && !done) {
      return Optional.empty();
    }
    StepId step = id.step();
    return Optional.of(
        new TaskProgress(
            step.occurrence(),
            step.step(),
            id.index(),
            done,
            lastRunNumber,
            failures(),
            worker,
            incarnation,
            checkpoint,
            Optional.of(failedRuns.remembered()).filter(runs -> !runs.isEmpty())));
  }
}
