package org.hyssopport.engine.job;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A job that was accepted, and how far it has got.
 *
 * @since 0.2
 */
public final class Job {

  private final JobDefinition definition;
  private final Instant acceptedAt;
  private final Instant objective;
  private final List<List<Step>> occurrences = new ArrayList<>();
  private final List<Step> allSteps;
  private JobState state = JobState.QUEUED;
  private JobState storedState = JobState.QUEUED;
  private boolean acceptanceStored;
  private Optional<Instant> endedAt = Optional.empty();

  private Job(JobDefinition definition, Instant acceptedAt) {
    this.definition = definition;
    this.acceptedAt = acceptedAt;
    this.objective = acceptedAt.plus(allowedTime(definition));
    for (int occurrence = 0; occurrence < definition.occurrenceCount(); occurrence++) {
      List<Step> steps = new ArrayList<>();
      for (int step = 0; step < definition.steps().size(); step++) {
        StepId id = new StepId(definition.id(), occurrence, step);
        steps.add(new Step(this, id, definition.steps().get(step)));
      }
      occurrences.add(steps);
    }
    allSteps = occurrences.stream().flatMap(List::stream).toList();
  }

  /**
   * Returns a job that was just accepted.
   *
   * @param definition the job
   * @param acceptedAt when it was accepted, by the local steady clock
   * @return the job
   */
  public static Job accepted(JobDefinition definition, Instant acceptedAt) {
    return new Job(definition, acceptedAt);
  }

  private static Duration allowedTime(JobDefinition definition) {
    double chainMillis = definition.longestChain().toMillis();
    long stretched = (long) (definition.queue().stretch() * chainMillis);
    return definition.queue().allowance().plusMillis(stretched);
  }

  /** Returns what was accepted. */
  public JobDefinition definition() {
    return definition;
  }

  /** Returns its id. */
  public JobId id() {
    return definition.id();
  }

  /** Returns when it was accepted, by the local steady clock. */
  public Instant acceptedAt() {
    return acceptedAt;
  }

  /** Returns by when it should be complete, by the local steady clock. */
  public Instant objective() {
    return objective;
  }

  /** Returns its state. */
  public JobState state() {
    return state;
  }

  /** Returns the newest state that is stored, which is the one to show. */
  public JobState storedState() {
    return storedState;
  }

  /** Notes that a state is stored. */
  public void recordStoredState(JobState stored) {
    storedState = storedState.isTerminal() ? storedState : stored;
  }

  /** Tells whether its acceptance is stored. */
  public boolean acceptanceStored() {
    return acceptanceStored;
  }

  /** Notes that its acceptance is stored. */
  public void markAcceptanceStored() {
    acceptanceStored = true;
  }

  /** Tells whether nothing has to run any more. */
  public boolean isEnded() {
    return state.isTerminal();
  }

  /** Returns when it was over, by the local steady clock. */
  public Optional<Instant> endedAt() {
    return endedAt;
  }

  /** Returns all steps of all occurrences. */
  public List<Step> steps() {
    return allSteps;
  }

  /** Returns a task, if the job has it. */
  public Optional<Step> step(StepId id) {
    boolean known =
        id.occurrence() >= 0
            && id.occurrence() < occurrences.size()
            && id.step() >= 0
            && id.step() < definition.steps().size();
    return known ? Optional.of(occurrences.get(id.occurrence()).get(id.step())) : Optional.empty();
  }

  /** Tells whether a step's turn has come: it is due and all steps before it are done. */
  public boolean isStepReady(Step step, Instant timeOfDay) {
    if (isEnded() || step.done()) {
      return false;
    }
    int occurrence = step.id().occurrence();
    if (definition.timed() && timeOfDay.isBefore(definition.dueAt(occurrence))) {
      return false;
    }
    return step.definition().after().stream()
        .allMatch(earlier -> occurrences.get(occurrence).get(earlier).done());
  }

  /** Notes that a task has begun. */
  public void markStarted() {
    if (state == JobState.QUEUED) {
      state = JobState.RUNNING;
    }
  }

  /** Ends the job if all is done, or if a step has failed too often. */
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
    return !step.definition().lasting()
        && !step.done()
        && step.failures() >= definition.queue().attempts();
  }

  /** Ends the job because a caller wants it. */
  public void cancel(Instant now) {
    if (!isEnded()) {
      end(JobState.CANCELLED, now);
    }
  }

  private void end(JobState endState, Instant now) {
    state = endState;
    endedAt = Optional.of(now);
  }

  /** Returns the progress to store. */
  public JobProgress progress() {
    List<TaskProgress> tasks = new ArrayList<>();
    if (!isEnded()) {
      for (Step step : steps()) {
        step.tasks().forEach(task -> task.progress().ifPresent(tasks::add));
      }
    }
    return new JobProgress(id(), state, tasks);
  }

  /** Takes in stored progress. */
  public void restore(JobProgress progress, Instant now) {
    state = progress.state();
    storedState = progress.state();
    if (state.isTerminal()) {
      endedAt = Optional.of(now);
    }
    for (TaskProgress task : progress.tasks()) {
      step(new StepId(id(), task.occurrence(), task.step()))
          .filter(step -> task.index() < step.tasks().size())
          .ifPresent(step -> step.restore(task));
    }
  }
}
