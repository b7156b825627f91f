package org.hyssopport.engine.advice;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;

/**
 * A call for advice that waits for a member or is made by one.
 *
 * @param number its number
 * @param step the step
 * @param workers the workers named
 * @param priority the priority of the step's queue
 * @param startBy when the step has to start for its job to meet its objective
 * @param expectedDuration how long the service takes for it
 * @since 0.2
 */
public record AdviceCall(
    long number,
    StepId step,
    List<WorkerId> workers,
    int priority,
    Instant startBy,
    Duration expectedDuration) {}
