package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;

/**
 * A worker's report of its attempts, which lags behind their actual state.
 *
 * @param instant the time that the report describes, by the worker's clock
 * @param bootId the id of the worker's boot, different after every start
 * @param leaving whether the worker is leaving
 * @param tasks the attempts that run and those that ended within the retention time that the
 *     platform states
 * @since 0.1
 */
public record WorkerTaskReport(
    Instant instant, String bootId, boolean leaving, List<AttemptView> tasks) {

  /** Copies the list. */
  public WorkerTaskReport {
    tasks = List.copyOf(tasks);
  }
}
