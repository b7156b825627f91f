package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;

/**
 * What a worker reports of its tasks; it lags.
 *
 * @param instant the moment that the report speaks of, by the worker's clock
 * @param bootId differs for every start of the worker
 * @param leaving whether the worker is leaving
 * @param tasks attempts that run, and attempts that ended within the stated time
 * @since 0.1
 */
public record WorkerTaskReport(
    Instant instant, String bootId, boolean leaving, List<AttemptView> tasks) {

  /** Copies the list. */
  public WorkerTaskReport {
    tasks = List.copyOf(tasks);
  }
}
