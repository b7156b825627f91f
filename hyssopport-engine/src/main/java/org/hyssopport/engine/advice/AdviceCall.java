package org.hyssopport.engine.advice;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;

/**
 * A call to the advice service that waits for a member to make it, or is in flight.
 *
 * @param number the number of the call, unique within a scheduler's term
 * @param step the step whose tasks have to be placed
 * @param incarnations the workers that the call asks about, in their order, with the incarnation of
 *     each that was known when the call was queued
 * @param priority the priority of the step's queue
 * @param startBy the time by which the step has to start for its job to meet its objective
 * @param expectedDuration how long the call is expected to take
 * @since 0.2
 */
public record AdviceCall(
    long number,
    StepId step,
    Map<WorkerId, Long> incarnations,
    int priority,
    Instant startBy,
    Duration expectedDuration) {

  /** Copies the map of incarnations, in its order. */
  public AdviceCall {
    incarnations = Collections.unmodifiableMap(new LinkedHashMap<>(incarnations));
  }

  /** Returns the workers that the call asks about, in their order. */
  public List<WorkerId> workers() {
    return List.copyOf(incarnations.keySet());
  }
}
