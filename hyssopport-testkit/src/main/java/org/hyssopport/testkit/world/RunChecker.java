package org.hyssopport.testkit.world;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.policy.Resources;

/**
 * Checks the runs on all workers against the scheduler's guarantees.
 *
 * <p>The simulated workers and callers record submissions, confirmed cancellations, starts, ends
 * and acknowledgements here. The scheduler's own state is not used.
 *
 * @since 0.2
 */
public final class RunChecker {

  private final Map<TaskId, Set<RunId>> running = new HashMap<>();
  private final Map<WorkerId, Resources> used = new HashMap<>();
  private final Map<RunId, Resources> demands = new HashMap<>();
  private final Set<TaskId> doneTasks = new HashSet<>();
  private final Set<StepId> doneGangs = new HashSet<>();
  private final Map<StepId, Integer> doneCounts = new HashMap<>();
  private final Map<JobId, Instant> cancelled = new HashMap<>();
  private final List<String> findings = new ArrayList<>();
  private final Map<JobId, List<StepDefinition>> stepsByJob = new HashMap<>();
  private final Map<RunId, CompletedRun> completedRuns = new HashMap<>();
  private final AttemptChecker attempts = new AttemptChecker();
  private final LimitChecker limits = new LimitChecker();
  private boolean carryingOutLateOrder;
  private int startCount;

  /**
   * A run that ended as done. A later start of the same work is a finding only once the scheduler
   * has acknowledged this end; until then it is kept as pending.
   */
  private static final class CompletedRun {
    private final WorkerId worker;
    private boolean acknowledged;
    private Optional<String> pendingFinding = Optional.empty();

    private CompletedRun(WorkerId worker) {
      this.worker = worker;
    }
  }

  /** Records the steps of a job that a caller submitted; its attempts are not checked. */
  public void recordSubmission(JobId job, List<StepDefinition> steps) {
    stepsByJob.put(job, steps);
  }

  /** Records the steps of a job that a caller submitted, and the attempts of its queue. */
  public void recordSubmission(JobId job, List<StepDefinition> steps, int attemptsOfQueue) {
    stepsByJob.put(job, steps);
    attempts.recordSubmission(job, attemptsOfQueue);
  }

  LimitChecker limits() {
    return limits;
  }

  /** Returns the definition, as submitted, of the step that a run belongs to. */
  public StepDefinition stepOf(RunId runId) {
    StepId id = runId.task().step();
    return stepsByJob.get(id.job()).get(id.step());
  }

  /** Records that the cancellation of a job was confirmed to a caller. */
  public void recordCancellation(JobId job, Instant at) {
    cancelled.putIfAbsent(job, at);
  }

  void recordStart(
      RunId runId, StepDefinition step, WorkerId worker, Resources capacity, Instant at) {
    startCount++;
    Resources total = used.getOrDefault(worker, Resources.NONE).plus(step.demand());
    used.put(worker, total);
    demands.put(runId, step.demand());
    limits
        .recordStart(runId.task().step().job(), step.demand(), at, carryingOutLateOrder)
        .ifPresent(finding -> findings.add(finding + " by " + runId));
    if (!total.fitsIn(capacity)) {
      findings.add(at + " capacity exceeded on " + worker + " by " + runId);
    }
    Set<RunId> others = running.computeIfAbsent(runId.task(), each -> new HashSet<>());
    if (!others.isEmpty()) {
      findings.add(at + " concurrent runs of one task: " + runId + " beside " + others);
    }
    others.add(runId);
    checkNotDone(runId, step.gang(), at);
    if (!step.lasting()) {
      attempts.recordStart(runId, step.gang(), at.toString());
    }
    if (!stepsByJob.containsKey(runId.task().step().job())) {
      findings.add(at + " started for a job that no caller submitted: " + runId);
    } else {
      checkStepOrder(runId, at);
    }
    Instant cancelledAt = cancelled.get(runId.task().step().job());
    if (cancelledAt != null && !carryingOutLateOrder && at.isAfter(cancelledAt.plusSeconds(3))) {
      findings.add(at + " started more than 3 s after its job was cancelled: " + runId);
    }
  }

  private void checkNotDone(RunId runId, boolean gang, Instant at) {
    completedRuns.forEach(
        (completedRunId, completed) -> {
          boolean sameWork =
              gang
                  ? completedRunId.task().step().equals(runId.task().step())
                  : completedRunId.task().equals(runId.task());
          if (sameWork && completed.acknowledged) {
            findings.add(at + " started although its task or gang was done: " + runId);
          } else if (sameWork) {
            completed.pendingFinding =
                Optional.of(at + " started although its task or gang was done: " + runId);
          }
        });
  }

  /** Records that the scheduler acknowledged the end of a run. */
  void recordAcknowledgement(RunId runId) {
    findings.addAll(attempts.recordAcknowledgement(runId));
    CompletedRun completed = completedRuns.get(runId);
    if (completed != null && !completed.acknowledged) {
      completed.acknowledged = true;
      completed.pendingFinding.ifPresent(findings::add);
    }
  }

  /**
   * Discards the completed runs of a worker that were not acknowledged. Called when the worker
   * crashes or its lease expires: the scheduler may then run the same tasks again.
   */
  void discardUnacknowledged(WorkerId worker) {
    attempts.discardUnacknowledged(worker);
    completedRuns
        .values()
        .removeIf(completed -> completed.worker.equals(worker) && !completed.acknowledged);
  }

  /**
   * Sets whether the order being carried out was delivered late. If so, the start of a cancelled
   * job is not a finding.
   */
  void setCarryingOutLateOrder(boolean late) {
    carryingOutLateOrder = late;
  }

  private void checkStepOrder(RunId runId, Instant at) {
    StepId step = runId.task().step();
    List<StepDefinition> steps = stepsByJob.get(step.job());
    for (int earlier : steps.get(step.step()).after()) {
      StepId predecessor = new StepId(step.job(), step.occurrence(), earlier);
      boolean done =
          doneGangs.contains(predecessor)
              || doneCounts.getOrDefault(predecessor, 0) >= steps.get(earlier).tasks();
      if (!done) {
        findings.add(
            at
                + " started before a step that it depends on was done: "
                + runId
                + " before "
                + predecessor);
      }
    }
  }

  void recordEnd(RunId runId, WorkerId worker, Instant at) {
    boolean wasRunning = running.getOrDefault(runId.task(), Set.of()).remove(runId);
    if (!wasRunning) {
      findings.add(at + " ended without having started: " + runId);
      return;
    }
    Resources demand = demands.remove(runId);
    used.merge(worker, demand.times(-1), Resources::plus);
    limits.recordEnd(runId.task().step().job(), demand);
  }

  /** Records that a run that has ended was successful; a gang is done with its first such run. */
  void recordDone(RunId runId, WorkerId worker, boolean gang) {
    TaskId task = runId.task();
    completedRuns.put(runId, new CompletedRun(worker));
    if (gang) {
      doneGangs.add(task.step());
    } else if (doneTasks.add(task)) {
      doneCounts.merge(task.step(), 1, Integer::sum);
    }
  }

  /** Records that a run that has ended failed. */
  void recordFailure(RunId runId, WorkerId worker, boolean gang) {
    attempts.recordFailure(runId, worker, gang);
  }

  /** Returns whether a task or gang of the job has failed as often as its queue allows. */
  public boolean isOutOfAttempts(JobId job) {
    return attempts.isUsedUp(job);
  }

  /** Returns whether all tasks of a job have ended as done. */
  public boolean isDone(JobId job) {
    List<StepDefinition> steps = stepsByJob.get(job);
    for (int step = 0; step < steps.size(); step++) {
      StepId id = new StepId(job, 0, step);
      boolean done =
          doneGangs.contains(id) || doneCounts.getOrDefault(id, 0) >= steps.get(step).tasks();
      if (!done) {
        return false;
      }
    }
    return true;
  }

  /** Adds a finding of another observer. */
  public void addFinding(String finding) {
    findings.add(finding);
  }

  /** Returns the violations found so far; empty if every guarantee held. */
  public List<String> findings() {
    return List.copyOf(findings);
  }

  /** Returns the number of runs that were started on any worker. */
  public int startCount() {
    return startCount;
  }
}
