package org.hyssopport.engine.worker;

import org.hyssopport.engine.job.TaskId;

/**
 * One run of a task.
 *
 * @param task the task
 * @param run the number of the run
 * @since 0.2
 */
public record RunRef(TaskId task, int run) {}
