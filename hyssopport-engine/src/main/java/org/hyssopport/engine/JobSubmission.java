package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * A job as a caller submits it, before the values of its work class complete it to a {@link
 * org.hyssopport.engine.work.JobSpec}.
 *
 * @param id the id that the caller chose for the job; generated if empty
 * @param className the name of the work class
 * @param tasks the number of tasks
 * @param resources the resources of each task; those of the work class if empty
 * @param deadline when the job should have ended; now plus the patience of its class if empty
 * @param payload the payload that is passed to every task
 * @since 0.1
 */
public record JobSubmission(
    Optional<String> id,
    String className,
    int tasks,
    Optional<Resources> resources,
    Optional<Instant> deadline,
    String payload) {}
