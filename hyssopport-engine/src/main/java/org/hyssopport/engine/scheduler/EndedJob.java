package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobOwner;
import org.hyssopport.engine.job.JobState;

/**
 * What is kept of an ended job once its definition is no longer needed.
 *
 * @param id the id of the job
 * @param state its final state, which is stored
 * @param endedAt when it ended, by the local monotonic clock
 * @param owner its owner, if it has one
 */
record EndedJob(JobId id, JobState state, Instant endedAt, Optional<JobOwner> owner) {

  /** Returns what is kept of a job that has ended. */
  static EndedJob of(Job job) {
    return new EndedJob(
        job.id(), job.storedState(), job.endedAt().orElseThrow(), JobOwner.of(job.definition()));
  }
}
