package org.hyssopport.engine.configuration;

import org.hyssopport.engine.job.QueuePolicy;

/**
 * Maps the host and path of a request to a queue.
 *
 * @param host the host that the request must name
 * @param prefix the prefix that the path must have
 * @param queue the policy of the queue
 * @param publicAccess whether callers need no key of an organisation
 * @since 0.2
 */
public record QueueRoute(String host, String prefix, QueuePolicy queue, boolean publicAccess) {

  boolean matches(String requestedHost, String path) {
    return host.equals(requestedHost) && path.startsWith(prefix);
  }
}
