package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobOwner;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.organisation.CallerIdentity;

/** The known jobs, with an index of those that have not ended, and the states of archived ones. */
final class JobRegistry {

  private final Map<JobId, Job> jobs = new HashMap<>();
  private final Map<JobId, Job> active = new LinkedHashMap<>();
  private final Map<JobId, EndedJob> archived = new HashMap<>();
  private List<Job> newlyEnded = new ArrayList<>();
  private List<EndedJob> newlyArchived = new ArrayList<>();

  void add(Job job) {
    jobs.put(job.id(), job);
    if (!job.isEnded()) {
      active.put(job.id(), job);
    }
  }

  void remove(JobId id) {
    jobs.remove(id);
    active.remove(id);
    archived.remove(id);
  }

  /** Replaces a job, if it is known, by its final state. */
  void archive(EndedJob job) {
    jobs.remove(job.id());
    active.remove(job.id());
    archived.put(job.id(), job);
    newlyArchived.add(job);
  }

  /** Returns the jobs that have ended since the last call, in the order of their ends. */
  List<Job> drainEnded() {
    List<Job> drained = newlyEnded;
    newlyEnded = new ArrayList<>();
    return drained;
  }

  /** Returns the jobs that were archived since the last call, in the order of that. */
  List<EndedJob> drainArchived() {
    List<EndedJob> drained = newlyArchived;
    newlyArchived = new ArrayList<>();
    return drained;
  }

  Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns the final state of a job whose definition is not known any more. */
  Optional<JobState> archivedState(JobId id) {
    return Optional.ofNullable(archived.get(id)).map(EndedJob::state);
  }

  /** Returns whether a job is unknown or open to a caller. */
  boolean isOpenTo(JobId id, Optional<CallerIdentity> caller) {
    Optional<JobOwner> owner =
        find(id)
            .map(job -> JobOwner.of(job.definition()))
            .orElseGet(() -> Optional.ofNullable(archived.get(id)).flatMap(EndedJob::owner));
    return JobOwner.isOpen(owner, caller);
  }

  Optional<Step> findStep(StepId id) {
    return find(id.job()).flatMap(job -> job.step(id));
  }

  /** Removes a job from the active ones if it has ended. */
  void deactivateIfEnded(Job job) {
    if (job.isEnded() && active.remove(job.id()) != null) {
      newlyEnded.add(job);
    }
  }

  /** Returns the jobs whose definitions are known, with those that have ended. */
  Collection<Job> known() {
    return jobs.values();
  }

  Collection<Job> active() {
    return active.values();
  }

  /** Returns the number of known jobs, with those that have ended. */
  int size() {
    return jobs.size() + archived.size();
  }

  /** Returns the steps of stored jobs that are ready to run and have tasks to place. */
  List<Step> readySteps(Instant wallClockTime) {
    List<Step> ready = new ArrayList<>();
    for (Job job : active.values()) {
      if (job.acceptanceStored()) {
        for (Step step : job.steps()) {
          if (job.isStepReady(step, wallClockTime) && step.isPlaceable()) {
            ready.add(step);
          }
        }
      }
    }
    return ready;
  }

  /**
   * Returns how many jobs of each queue have not started; jobs that run on a schedule are left out.
   */
  Map<String, Integer> pendingByQueue() {
    Map<String, Integer> pending = new HashMap<>();
    for (Job job : active.values()) {
      if (job.state() == JobState.QUEUED && !job.definition().timed()) {
        pending.merge(job.definition().queue().name(), 1, Integer::sum);
      }
    }
    return pending;
  }
}
