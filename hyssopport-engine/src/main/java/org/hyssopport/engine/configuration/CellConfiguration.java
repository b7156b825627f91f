package org.hyssopport.engine.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.organisation.OrganisationDirectory;

/**
 * One version of the configuration of a cell.
 *
 * @param version the number of this version, larger than that of every earlier one
 * @param routes the routes of callers to the queues
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @param organisations the organisations that share the cell; empty if the configuration states
 *     none, and then every caller is served without a key
 * @since 0.2
 */
public record CellConfiguration(
    long version,
    List<QueueRoute> routes,
    int maximumBodyBytes,
    Optional<OrganisationDirectory> organisations) {

  /** Returns the policies of the queues by their names. */
  public Map<String, QueuePolicy> queuesByName() {
    return routes.stream()
        .map(QueueRoute::queue)
        .collect(Collectors.toMap(QueuePolicy::name, Function.identity(), (first, same) -> first));
  }

  /**
   * Returns the route for a host and path, or empty if none matches. If several match, returns the
   * one with the longest prefix.
   */
  public Optional<QueueRoute> route(String host, String path) {
    return routes.stream()
        .filter(route -> route.matches(host, path))
        .max(Comparator.comparingInt(route -> route.prefix().length()));
  }
}
