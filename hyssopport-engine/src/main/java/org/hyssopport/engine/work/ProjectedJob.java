package org.hyssopport.engine.work;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.work.StreamRecord.TaskClaim;
import org.hyssopport.engine.work.StreamRecord.TaskClosed;
import org.hyssopport.engine.work.TaskStatus.Phase;

/**
 * The state of one job, computed from the records of its stream.
 *
 * <p>Only {@link WorkProjection} changes it. The methods that apply a record return false, and
 * change nothing, if the record is not valid.
 *
 * @since 0.1
 */
public final class ProjectedJob {

  private final JobSpec spec;
  private final List<TaskStatus> tasks;
  private final Instant acceptedAt;
  private boolean cancelled;
  private boolean aborting;
  private Optional<Instant> endedAt = Optional.empty();

  private ProjectedJob(JobSpec spec, Instant acceptedAt, List<TaskStatus> tasks) {
    this.spec = spec;
    this.acceptedAt = acceptedAt;
    this.tasks = tasks;
  }

  static ProjectedJob accepted(JobSpec spec, Instant acceptedAt) {
    List<TaskStatus> tasks = new ArrayList<>();
    for (int index = 0; index < spec.tasks(); index++) {
      tasks.add(TaskStatus.initial());
    }
    return new ProjectedJob(spec, acceptedAt, tasks);
  }

  static ProjectedJob restored(Snapshot snapshot) {
    ProjectedJob job =
        new ProjectedJob(snapshot.spec(), snapshot.acceptedAt(), new ArrayList<>(snapshot.tasks()));
    job.cancelled = snapshot.cancelled();
    job.aborting = snapshot.aborting();
    job.endedAt = snapshot.endedAt();
    return job;
  }

  /** Returns the job's specification. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns when the job's record was appended, by the log's clock. */
  public Instant acceptedAt() {
    return acceptedAt;
  }

  /** Returns whether the job was cancelled. */
  public boolean isCancelled() {
    return cancelled;
  }

  /**
   * Returns whether the open attempts of this gang must be stopped because an attempt of it was
   * closed with a cause other than {@link CloseCause#DONE}.
   */
  public boolean isAborting() {
    return aborting;
  }

  /** Returns when the last task ended, or empty while a task has not ended. */
  public Optional<Instant> endedAt() {
    return endedAt;
  }

  /** Returns the number of tasks. */
  public int taskCount() {
    return tasks.size();
  }

  /** Returns the state of the task with the given index. */
  public TaskStatus task(int index) {
    return tasks.get(index);
  }

  /** Returns the number of tasks in the given phase. */
  public int count(Phase phase) {
    int count = 0;
    for (TaskStatus task : tasks) {
      if (task.phase() == phase) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether every task has ended. */
  public boolean isEnded() {
    return endedAt.isPresent();
  }

  boolean claimTasks(List<TaskClaim> claims) {
    if (cancelled || aborting || !claimsAllowed(claims)) {
      return false;
    }
    for (TaskClaim claim : claims) {
      TaskStatus task = tasks.get(claim.task());
      tasks.set(claim.task(), task.withOpenAttempt(claim.attempt(), claim.placement()));
    }
    return true;
  }

  private boolean claimsAllowed(List<TaskClaim> claims) {
    if (claims.isEmpty()) {
      return false;
    }
    if (spec.kind().startsTogether() && claims.size() != tasks.size()) {
      return false;
    }
    long distinct = claims.stream().mapToInt(TaskClaim::task).distinct().count();
    return distinct == claims.size() && claims.stream().allMatch(this::claimAllowed);
  }

  private boolean claimAllowed(TaskClaim claim) {
    if (claim.task() < 0 || claim.task() >= tasks.size()) {
      return false;
    }
    TaskStatus task = tasks.get(claim.task());
    return task.phase() == Phase.WAITING && claim.attempt() == task.attempt() + 1;
  }

  /** Returns whether the given attempt is the open attempt of the task with the given index. */
  public boolean isOpen(int index, int attempt) {
    return index >= 0
        && index < tasks.size()
        && tasks.get(index).phase() == Phase.OPEN
        && tasks.get(index).attempt() == attempt;
  }

  boolean extendHorizon(int index, int attempt, Instant horizon) {
    if (!isOpen(index, attempt) || cancelled || aborting) {
      return false;
    }
    TaskStatus task = tasks.get(index);
    tasks.set(index, task.withPlacement(task.placement().orElseThrow().withHorizon(horizon)));
    return true;
  }

  boolean closeAttempt(TaskClosed closed, Instant appendedAt) {
    if (!isOpen(closed.task(), closed.attempt()) || horizonWasExtended(closed)) {
      return false;
    }
    if (spec.kind().startsTogether()) {
      closeGangTask(closed.task(), closed.cause());
    } else {
      closeTask(closed.task(), closed.cause());
    }
    endIfAllEnded(appendedAt);
    return true;
  }

  private boolean horizonWasExtended(TaskClosed closed) {
    Instant horizon = tasks.get(closed.task()).placement().orElseThrow().horizon();
    return closed
        .lapsedHorizon()
        .map(expiredHorizon -> !expiredHorizon.equals(horizon))
        .orElse(false);
  }

  private void closeTask(int index, CloseCause cause) {
    TaskStatus closed = tasks.get(index).withClosedAttempt(Phase.WAITING, cause);
    boolean ends = cause.endsTask() || cancelled || closed.failures() >= spec.maximumAttempts();
    tasks.set(index, ends ? closed.withPhase(Phase.ENDED) : closed);
  }

  private void closeGangTask(int index, CloseCause cause) {
    tasks.set(index, tasks.get(index).withClosedAttempt(Phase.SETTLED, cause));
    if (cause != CloseCause.DONE) {
      aborting = true;
    }
    if (count(Phase.OPEN) > 0) {
      return;
    }
    boolean allDone =
        tasks.stream().allMatch(task -> task.lastCause().equals(Optional.of(CloseCause.DONE)));
    boolean exhausted = tasks.stream().anyMatch(task -> task.failures() >= spec.maximumAttempts());
    Phase next = allDone || cancelled || exhausted ? Phase.ENDED : Phase.WAITING;
    tasks.replaceAll(task -> task.withPhase(next));
    aborting = false;
  }

  boolean cancel(Instant appendedAt) {
    if (cancelled || isEnded()) {
      return false;
    }
    cancelled = true;
    tasks.replaceAll(task -> task.phase() == Phase.WAITING ? task.withPhase(Phase.ENDED) : task);
    endIfAllEnded(appendedAt);
    return true;
  }

  private void endIfAllEnded(Instant appendedAt) {
    if (endedAt.isEmpty() && count(Phase.ENDED) == tasks.size()) {
      endedAt = Optional.of(appendedAt);
    }
  }

  Snapshot snapshot() {
    return new Snapshot(spec, acceptedAt, List.copyOf(tasks), cancelled, aborting, endedAt);
  }

  /**
   * The state of a job, for encoding as JSON.
   *
   * @param spec the job's specification
   * @param acceptedAt when the job's record was appended, by the log's clock
   * @param tasks the states of all tasks, by index
   * @param cancelled whether the job was cancelled
   * @param aborting whether the open attempts of the gang must be stopped
   * @param endedAt when the last task ended
   */
  record Snapshot(
      JobSpec spec,
      Instant acceptedAt,
      List<TaskStatus> tasks,
      boolean cancelled,
      boolean aborting,
      Optional<Instant> endedAt) {}
}
