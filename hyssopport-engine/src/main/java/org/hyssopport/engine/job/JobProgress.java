package org.hyssopport.engine.job;

import java.util.List;

/**
 * The stored form of the progress of a job.
 *
 * @param job the job
 * @param state its state
 * @param tasks the progress of its tasks; tasks that were never assigned a run are left out, as are
 *     all tasks of an ended job
 * @since 0.2
 */
public record JobProgress(JobId job, JobState state, List<TaskProgress> tasks) {}
