package org.hyssopport.engine.job;

import java.util.List;
import java.util.Optional;

/**
 * The stored form of the progress of a job.
 *
 * @param job the job
 * @param state its state
 * @param tasks the progress of its tasks; tasks that were never assigned a run are left out, as are
 *     all tasks of an ended job
 * @param owner the owner of an ended job, whose definition is not kept for long; empty if it has
 *     none, if the job has not ended, and in records of earlier versions
 * @since 0.2
 */
public record JobProgress(
    JobId job, JobState state, List<TaskProgress> tasks, Optional<JobOwner> owner) {

  /** Creates the progress of a job without an owner, or of one whose definition states it. */
  public JobProgress(JobId job, JobState state, List<TaskProgress> tasks) {
    this(job, state, tasks, Optional.empty());
  }
}
