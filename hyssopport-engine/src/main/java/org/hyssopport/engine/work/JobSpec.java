package org.hyssopport.engine.work;

import java.time.Instant;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.WorkKind;

/**
 * What a caller asked for when it submitted a job.
 *
 * @param id the job's id
 * @param className the work class
 * @param kind batch or gang
 * @param team the team that the job counts against
 * @param resources what each task holds
 * @param tasks the number of tasks
 * @param payload what each task runs
 * @param deadline until when the caller wants it done; earlier ones start first
 * @param submittedAt when it was submitted
 * @param maximumAttempts how often a task may fail
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
