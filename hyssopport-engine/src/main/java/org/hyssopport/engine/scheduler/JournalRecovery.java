package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.policy.Resources;

/** Restores the jobs and their runs from the journal at the beginning of a term. */
final class JournalRecovery {

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;

  JournalRecovery(SchedulerContext context, JobRegistry jobs, TrackedWorkerRegistry workers) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
  }

  /**
   * Restores the jobs that the entries describe.
   *
   * @param entries the newest entry of each kind for each job
   * @return the jobs that callers have cancelled; they are not cancelled yet
   */
  Set<JobId> restoreJobs(List<JournalEntry> entries) {
    Map<JobId, JournalEntry.Progressed> progress = new HashMap<>();
    Set<JobId> cancelled = new HashSet<>();
    for (JournalEntry entry : entries) {
      if (entry instanceof JournalEntry.Accepted accepted) {
        jobs.add(toStoredJob(accepted.definition(), Instant.MIN));
      } else if (entry instanceof JournalEntry.Progressed progressed) {
        progress.put(entry.job(), progressed);
      } else if (entry instanceof JournalEntry.Cancelled) {
        cancelled.add(entry.job());
      }
    }
    progress.values().forEach(this::restoreProgress);
    return cancelled;
  }

  /**
   * Returns a job whose acceptance is stored in the journal.
   *
   * @param definition the definition of the job
   * @param notBefore the earliest time at which it can have been stored, by the local monotonic
   *     clock; the clock of the member that accepted it may differ by any time
   */
  Job toStoredJob(JobDefinition definition, Instant notBefore) {
    Instant acceptedAt = definition.acceptedAt();
    if (acceptedAt.isAfter(context.now())) {
      acceptedAt = context.now();
    } else if (acceptedAt.isBefore(notBefore)) {
      acceptedAt = notBefore;
    }
    Job job = context.createJob(definition, acceptedAt);
    job.markAcceptanceStored();
    return job;
  }

  private void restoreProgress(JournalEntry.Progressed entry) {
    Optional<Job> found = jobs.find(entry.job());
    JobState state = entry.progress().state();
    if (found.isPresent()) {
      found.get().restore(entry.progress(), context.now());
      jobs.deactivateIfEnded(found.get());
    } else if (state.isTerminal()) {
      jobs.archive(new EndedJob(entry.job(), state, context.now(), entry.progress().owner()));
    } else {
      context.logDecision(
          "job left out", entry.job(), Map.of("reason", "journal lacks its definition"));
    }
  }

  /** Accounts for the runs that an earlier scheduler assigned, until their workers report. */
  void inheritRuns() {
    for (Job job : jobs.known()) {
      for (Step step : job.steps()) {
        for (Task task : step.tasks()) {
          task.worker().ifPresent(worker -> inheritRun(step, task, worker));
        }
      }
    }
  }

  private void inheritRun(Step step, Task task, WorkerId id) {
    RunId runId = new RunId(task.id(), task.lastRunNumber());
    Optional<TrackedWorker> found = workers.find(id);
    if (found.isEmpty()) {
      TrackedWorker unlisted = createUnlistedWorker(step, task, id);
      workers.put(unlisted);
      found = Optional.of(unlisted);
    }
    if (found.get().description().incarnation() != task.incarnation()) {
      found.get().extendInheritedLease(context.inheritedLeaseOfLaterIncarnationUntil());
    }
    found.get().add(TrackedRun.of(runId, step, RunPhase.INHERITED, context.now()));
  }

  /** Returns a placeholder for a worker that the live list lacks, kept until its lease expires. */
  private TrackedWorker createUnlistedWorker(Step step, Task task, WorkerId id) {
    WorkerDescription description =
        new WorkerDescription(
            id,
            task.incarnation(),
            "",
            step.job().queue().service(),
            new FailureDomain("unknown"),
            Resources.NONE,
            Set.of(),
            "",
            true);
    TrackedWorker unlisted =
        TrackedWorker.withoutReport(description, context.inheritedLeaseUntil());
    unlisted.markUnlisted();
    return unlisted;
  }
}
