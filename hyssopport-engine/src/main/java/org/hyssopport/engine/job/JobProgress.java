package org.hyssopport.engine.job;

import java.util.List;

/**
 * The stored progress of a job; tasks that never got a run are left out.
 *
 * @param job the job
 * @param state its state
 * @param tasks the progress of its tasks
 * @since 0.2
 */
public record JobProgress(JobId job, JobState state, List<TaskProgress> tasks) {}
