package org.hyssopport.engine.configuration;

import org.hyssopport.engine.job.QueuePolicy;

/**
 * How callers reach a queue.
 *
 * @param host the host that they name
 * @param prefix what the path begins with
 * @param queue the queue
 * @since 0.2
 */
public record QueueRoute(String host, String prefix, QueuePolicy queue) {

  boolean matches(String requestedHost, String path) {
    return host.equals(requestedHost) && path.startsWith(prefix);
  }
}
