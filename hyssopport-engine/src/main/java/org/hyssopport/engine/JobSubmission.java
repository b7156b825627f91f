package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * A job as a caller states it.
 *
 * @param id an id of the caller's own
 * @param className the work class
 * @param tasks the number of tasks
 * @param resources what each task holds, if other than its class states
 * @param deadline until when it should be done, if other than its class's patience states
 * @param payload what each task runs
 * @since 0.1
 */
public record JobSubmission(
    Optional<String> id,
    String className,
    int tasks,
    Optional<Resources> resources,
    Optional<Instant> deadline,
    String payload) {}
