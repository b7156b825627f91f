package org.hyssopport.engine.job;

import java.time.Duration;
import java.util.Optional;

/**
 * The policy of the queue that a job came by, as it was when the job was accepted.
 *
 * @param name the queue's name
 * @param service the service whose workers run the tasks
 * @param priority 0 comes first
 * @param attempts how often a task may fail before its job has failed
 * @param stretch how many times the job's longest chain of work it may take
 * @param allowance what the job may take beyond that
 * @param advice set if only advised workers may run the tasks
 * @since 0.2
 */
public record QueuePolicy(
    String name,
    String service,
    int priority,
    int attempts,
    double stretch,
    Duration allowance,
    Optional<AdvicePolicy> advice) {}
