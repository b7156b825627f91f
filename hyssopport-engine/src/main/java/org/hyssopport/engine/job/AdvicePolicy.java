package org.hyssopport.engine.job;

import java.time.Duration;

/**
 * How long a call for advice takes and how long its answer is valid.
 *
 * <p>A call asks the advice service which of the workers that it names may run the tasks of a step.
 *
 * @param decide the fixed part of a call's duration
 * @param perWorker the additional duration for each worker that the call names
 * @param valid how long a ticket is accepted
 * @since 0.2
 */
public record AdvicePolicy(Duration decide, Duration perWorker, Duration valid) {

  /** Returns the duration of a call that names the given number of workers. */
  public Duration callTime(int workers) {
    return decide.plus(perWorker.multipliedBy(workers));
  }
}
