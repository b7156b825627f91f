package org.hyssopport.engine.job;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * An accepted job with its steps, its state and its progress.
 *
 * <p>Like its steps and tasks, it is not thread-safe: only the scheduler of the cell uses it.
 *
 * @since 0.2
 */
public final class Job {

  private final JobDefinition definition;
  private final Instant acceptedAt;
  private final List<List<Step>> stepsByOccurrence = new ArrayList<>();
  private final List<Step> allSteps;
  private QueuePolicy queue;
  private Instant objective;
  private JobState state = JobState.QUEUED;
  private JobState storedState = JobState.QUEUED;
  private boolean acceptanceStored;
  private Optional<Instant> endedAt = Optional.empty();

  private Job(JobDefinition definition, Instant acceptedAt) {
    this.definition = definition;
    this.acceptedAt = acceptedAt;
    this.queue = definition.queue();
    this.objective = acceptedAt.plus(allowedTime(definition, queue));
    for (int occurrence = 0; occurrence < definition.occurrenceCount(); occurrence++) {
      List<Step> steps = new ArrayList<>();
      for (int step = 0; step < definition.steps().size(); step++) {
        StepId id = new StepId(definition.id(), occurrence, step);
        steps.add(new Step(this, id, definition.steps().get(step)));
      }
      stepsByOccurrence.add(steps);
    }
    allSteps = stepsByOccurrence.stream().flatMap(List::stream).toList();
  }

  /**
   * Returns an accepted job of which no task has started.
   *
   * @param definition the definition of the job
   * @param acceptedAt when it was accepted, by the local monotonic clock
   * @return the job
   */
  public static Job accepted(JobDefinition definition, Instant acceptedAt) {
    return new Job(definition, acceptedAt);
  }

  private static Duration allowedTime(JobDefinition definition, QueuePolicy queue) {
    double chainMillis = definition.longestChain().toMillis();
    long stretched = (long) (queue.stretch() * chainMillis);
    return queue.allowance().plusMillis(stretched);
  }

  /** Returns the policy of its queue that is in force. */
  public QueuePolicy queue() {
    return queue;
  }

  /** Puts a policy of its queue in force, unless a newer one is. */
  public void followQueue(QueuePolicy policy) {
    queue = queue.newerOf(policy);
    objective = acceptedAt.plus(allowedTime(definition, queue));
  }

  /** Returns the definition that was accepted. */
  public JobDefinition definition() {
    return definition;
  }

  /** Returns its id. */
  public JobId id() {
    return definition.id();
  }

  /** Returns when it was accepted, by the local monotonic clock. */
  public Instant acceptedAt() {
    return acceptedAt;
  }

  /** Returns the time by which it should be complete, by the local monotonic clock. */
  public Instant objective() {
    return objective;
  }

  /** Returns its current state, which may not be stored yet. */
  public JobState state() {
    return state;
  }

  /** Returns the newest stored state, which is the one that callers see. */
  public JobState storedState() {
    return storedState;
  }

  /** Records that a state is stored; a terminal state is never replaced. */
  public void recordStoredState(JobState stored) {
    storedState = storedState.isTerminal() ? storedState : stored;
  }

  /** Returns whether its acceptance is stored. */
  public boolean acceptanceStored() {
    return acceptanceStored;
  }

  /** Records that its acceptance is stored. */
  public void markAcceptanceStored() {
    acceptanceStored = true;
  }

  /** Returns whether the job has ended, so that none of its tasks needs to run. */
  public boolean isEnded() {
    return state.isTerminal();
  }

  /** Returns when it ended, by the local monotonic clock; empty if it has not. */
  public Optional<Instant> endedAt() {
    return endedAt;
  }

  /** Returns the steps of all occurrences. */
  public List<Step> steps() {
    return allSteps;
  }

  /** Returns a step, if the job has it. */
  public Optional<Step> step(StepId id) {
    boolean exists =
        id.occurrence() >= 0
            && id.occurrence() < stepsByOccurrence.size()
            && id.step() >= 0
            && id.step() < definition.steps().size();
    return exists
        ? Optional.of(stepsByOccurrence.get(id.occurrence()).get(id.step()))
        : Optional.empty();
  }

  /**
   * Returns whether a step may run now: its occurrence is due, all steps that it depends on are
   * done, and neither the step is done nor the job ended.
   *
   * @param step a step of this job
   * @param wallClockTime the current wall-clock time
   * @return whether the step may run
   */
  public boolean isStepReady(Step step, Instant wallClockTime) {
    if (isEnded() || step.done()) {
      return false;
    }
    int occurrence = step.id().occurrence();
    if (definition.timed() && wallClockTime.isBefore(definition.dueAt(occurrence))) {
      return false;
    }
    return step.definition().after().stream()
        .allMatch(earlier -> stepsByOccurrence.get(occurrence).get(earlier).done());
  }

  /** Records that a task has started. */
  public void markStarted() {
    if (state == JobState.QUEUED) {
      state = JobState.RUNNING;
    }
  }

  /** Ends the job if all steps are done, or if one has failed as often as the queue allows. */
  public void updateState(Instant now) {
    if (isEnded()) {
      return;
    }
    boolean failed = steps().stream().anyMatch(this::hasFailed);
    if (failed) {
      end(JobState.FAILED, now);
    } else if (steps().stream().allMatch(Step::done)) {
      end(JobState.COMPLETE, now);
    }
  }

  private boolean hasFailed(Step step) {
    return !step.definition().lasting() && !step.done() && step.failures() >= queue.attempts();
  }

  /** Cancels the job, unless it has ended. */
  public void cancel(Instant now) {
    if (!isEnded()) {
      end(JobState.CANCELLED, now);
    }
  }

  private void end(JobState endState, Instant now) {
    state = endState;
    endedAt = Optional.of(now);
  }

  /**
   * Returns the progress to store. That of an ended job holds no tasks but, if an organisation
   * submitted it, those that may still run: they count against the organisation's limit.
   */
  public JobProgress progress() {
    List<TaskProgress> tasks = new ArrayList<>();
    if (!isEnded() || definition.organisation().isPresent()) {
      for (Step step : steps()) {
        step.tasks().stream()
            .filter(task -> !isEnded() || task.worker().isPresent())
            .forEach(task -> task.progress().ifPresent(tasks::add));
      }
    }
    return new JobProgress(
        id(), state, tasks, isEnded() ? JobOwner.of(definition) : Optional.empty());
  }

  /**
   * Restores the state and the tasks from stored progress.
   *
   * @param progress the newest stored progress; tasks that the job does not have are ignored
   * @param now the reading of the local monotonic clock, which becomes the end of a job that has
   *     ended
   */
  public void restore(JobProgress progress, Instant now) {
    state = progress.state();
    storedState = progress.state();
    if (state.isTerminal()) {
      endedAt = Optional.of(now);
    }
    for (TaskProgress task : progress.tasks()) {
      step(new StepId(id(), task.occurrence(), task.step()))
          .filter(step -> step.hasTask(task.index()))
          .ifPresent(step -> step.restore(task));
    }
  }
}
