package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.List;

/**
 * The platform's list of live and leaving instances, which lags behind their actual state.
 *
 * @param instant the time that the list describes, by the platform's clock
 * @param instances all listed instances
 * @since 0.1
 */
public record LiveList(Instant instant, List<LiveInstance> instances) {

  /** Copies the list. */
  public LiveList {
    instances = List.copyOf(instances);
  }
}
