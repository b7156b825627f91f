package org.hyssopport.engine.job;

import java.time.Duration;

/**
 * What a call for advice costs and how long its answer holds.
 *
 * @param decide the fixed part of a call
 * @param perWorker the part for each worker named
 * @param valid how long a ticket is accepted
 * @since 0.2
 */
public record AdvicePolicy(Duration decide, Duration perWorker, Duration valid) {

  /** Returns how long a call that names so many workers takes. */
  public Duration callTime(int workers) {
    return decide.plus(perWorker.multipliedBy(workers));
  }
}
