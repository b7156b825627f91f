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
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepId;

/** The known jobs, with an index of those that have not ended. */
final class JobRegistry {

  private final Map<JobId, Job> jobs = new HashMap<>();
  private final Map<JobId, Job> active = new LinkedHashMap<>();

  void add(Job job) {
    jobs.put(job.id(), job);
    if (!job.isEnded()) {
      active.put(job.id(), job);
    }
  }

  void remove(JobId id) {
    jobs.remove(id);
    active.remove(id);
  }

  Optional<Job> find(JobId id) {
    return Optional.ofNullable(jobs.get(id));
  }

  Optional<Step> findStep(StepId id) {
    return find(id.job()).flatMap(job -> job.step(id));
  }

  /** Removes a job from the active ones if it has ended. */
  void deactivateIfEnded(Job job) {
    if (job.isEnded()) {
      active.remove(job.id());
    }
  }

  Collection<Job> active() {
    return active.values();
  }

  Collection<Job> all() {
    return jobs.values();
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
