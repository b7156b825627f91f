package org.hyssopport.engine.job;

import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;

/**
 * One task and how far it has got.
 *
 * @since 0.2
 */
public final class Task {

  private final TaskId id;
  private boolean done;
  private int run;
  private int failures;
  private String checkpoint = "";
  private Optional<WorkerId> worker = Optional.empty();
  private long incarnation;

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

  /** Tells whether it is done. */
  public boolean done() {
    return done;
  }

  /** Returns the highest run number used. */
  public int run() {
    return run;
  }

  /** Returns how many runs failed. */
  public int failures() {
    return failures;
  }

  /** Returns the newest checkpoint, or an empty text. */
  public String checkpoint() {
    return checkpoint;
  }

  /** Returns where its current run is assigned. */
  public Optional<WorkerId> worker() {
    return worker;
  }

  /** Returns the incarnation of the worker of the current run. */
  public long incarnation() {
    return incarnation;
  }

  /** Tells whether it has to be started. */
  public boolean isWaiting() {
    return !done && worker.isEmpty();
  }

  /** Assigns a new run. */
  public void assign(int newRun, WorkerId toWorker, long toIncarnation) {
    if (newRun <= run) {
      throw new IllegalArgumentException("run " + newRun + " of " + id + " is not above " + run);
    }
    run = newRun;
    worker = Optional.of(toWorker);
    incarnation = toIncarnation;
  }

  /** Notes that the current run is over. */
  public void clearAssignment() {
    worker = Optional.empty();
  }

  void markDone() {
    done = true;
    worker = Optional.empty();
  }

  void countFailure() {
    failures++;
  }

  void saveCheckpoint(String newest) {
    if (!newest.isEmpty()) {
      checkpoint = newest;
    }
  }

  void restore(TaskProgress progress) {
    done = progress.done();
    run = progress.run();
    failures = progress.failures();
    worker = progress.worker();
    incarnation = progress.incarnation();
    checkpoint = progress.checkpoint();
  }

  Optional<TaskProgress> progress() {
    if (run == 0 && !done) {
      return Optional.empty();
    }
    StepId step = id.step();
    return Optional.of(
        new TaskProgress(
            step.occurrence(),
            step.step(),
            id.index(),
            done,
            run,
            failures,
            worker,
            incarnation,
            checkpoint));
  }
}
