package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.TrackedWorker;

/**
 * Attributes failed runs to their workers or to their steps.
 *
 * <p>A failing worker fails the tasks of many steps, which succeed elsewhere; a step that can never
 * be done fails on every worker. A failure counts against its worker until its step is found to be
 * at fault: runs of it failed on several workers, most of its started tasks have failed, and none
 * has succeeded. Its failures are then withdrawn from all workers, and further ones don't count
 * against them, until one of its tasks succeeds.
 */
final class FailureAttribution {

  /** A step whose runs failed on fewer workers may have met a failing worker. */
  private static final int MINIMUM_WORKERS = 2;

  private final SchedulerContext context;
  private final TrackedWorkerRegistry workers;
  private final Map<StepId, FailedStep> failedSteps = new HashMap<>();

  FailureAttribution(SchedulerContext context, TrackedWorkerRegistry workers) {
    this.context = context;
    this.workers = workers;
  }

  /** The failures of a step since it began. */
  private static final class FailedStep {
    private final Set<WorkerId> workers = new HashSet<>();
    private final Set<Integer> tasks = new HashSet<>();
    private boolean succeeded;
    private boolean atFault;

    private boolean isAtFault(Step step) {
      long started = step.tasks().stream().filter(task -> task.lastRunNumber() > 0).count();
      return !succeeded && workers.size() >= MINIMUM_WORKERS && tasks.size() * 2L > started;
    }
  }

  /** Records a failed run of a step on a worker. */
  void recordFailure(Step step, RunId run, TrackedWorker worker) {
    FailedStep failed = failedSteps.computeIfAbsent(step.id(), each -> new FailedStep());
    failed.workers.add(worker.id());
    failed.tasks.add(run.task().index());
    if (!failed.atFault && failed.isAtFault(step)) {
      failed.atFault = true;
      failed.workers.forEach(id -> workers.find(id).ifPresent(each -> withdraw(each, step)));
      context.logDecision("step at fault", step.id(), Map.of("workers", failed.workers.size()));
    }
    if (!failed.atFault) {
      worker
          .circuitBreaker()
          .recordFailure(run, context.now())
          .ifPresent(
              until ->
                  context.logDecision(
                      "worker paused", step.id(), Map.of("worker", worker.id(), "until", until)));
    }
  }

  private static void withdraw(TrackedWorker worker, Step step) {
    worker.circuitBreaker().withdrawFailures(step.id());
  }

  /** Records that a task of the step completed on a worker. */
  void recordSuccess(Step step, TrackedWorker worker) {
    worker.circuitBreaker().recordSuccess();
    recordSuccess(step);
  }

  /** Records that a task without an end has worked on a worker for some time. */
  void recordSteadyRun(Step step, TrackedWorker worker, Instant startedAt) {
    worker.circuitBreaker().recordSteadyRun(startedAt);
    recordSuccess(step);
  }

  private void recordSuccess(Step step) {
    FailedStep failed = failedSteps.get(step.id());
    if (failed != null) {
      failed.succeeded = true;
      failed.atFault = false;
    }
  }

  /** Forgets the steps of an ended job. */
  void forget(Job job) {
    job.steps().forEach(step -> failedSteps.remove(step.id()));
  }
}
