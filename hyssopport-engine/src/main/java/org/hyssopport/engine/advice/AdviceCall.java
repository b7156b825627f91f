package org.hyssopport.engine.advice;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;

/**
 * A call to the advice service that waits for a member to make it, or is in flight.
 *
 * @param number the number of the call, unique within a scheduler's term
 * @param step the step whose tasks have to be placed
 * @param workers the workers that the call asks about
 * @param priority the priority of the step's queue
 * @param startBy the time by which the step has to start for its job to meet its objective
 * @param expectedDuration how long the call is expected to take
 * @since 0.2
 */
public record AdviceCall(
    long number,
    StepId step,
    List<WorkerId> workers,
    int priority,
    Instant startBy,
    Duration expectedDuration) {}
