package org.hyssopport.engine.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * One version of the configuration.
 *
 * @param version its version; versions only rise
 * @param routes the routes to all queues
 * @param maximumBodyBytes the largest body of a caller
 * @since 0.2
 */
public record CellConfiguration(long version, List<QueueRoute> routes, int maximumBodyBytes) {

  /** Returns the route with the longest prefix that a path begins with. */
  public Optional<QueueRoute> route(String host, String path) {
    return routes.stream()
        .filter(route -> route.matches(host, path))
        .max(Comparator.comparingInt(route -> route.prefix().length()));
  }
}
