package org.hyssopport.engine.work;

import java.time.Instant;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.WorkKind;

/**
 * A job as the log stores it: the caller's submission, completed with the values of its work class.
 *
 * @param id the job's id
 * @param className the name of the work class
 * @param kind batch or gang
 * @param team the team whose quota the job counts against
 * @param resources the resources that each task holds while it runs
 * @param tasks the number of tasks
 * @param payload the payload that the worker runs for each task
 * @param deadline when the job should have ended; jobs with earlier deadlines start first
 * @param submittedAt when the job was submitted
 * @param maximumAttempts the number of failed or lost attempts after which a task gets no further
 *     one
 * @since 0.1
 */
public record JobSpec(
    String id,
    String className,
    WorkKind kind,
    String team,
    Resources resources,
    int tasks,
    String payload,
    Instant deadline,
    Instant submittedAt,
    int maximumAttempts) {}
