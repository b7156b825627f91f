package org.hyssopport.engine.platform;

import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * An instance in the platform's live list.
 *
 * @param name the instance's name
 * @param kind whether it is an entry instance or a worker
 * @param failureDomain the failure domain that the instance runs in
 * @param rack the rack within the failure domain
 * @param address the host and port of its HTTP interface
 * @param peerAddress the host and port of its peer link; empty for workers
 * @param state whether the instance is in service or leaving
 * @param capacity the resources that a worker offers; none for entry instances
 * @param slots the number of requests and tasks that a worker runs at once
 * @param connections the number of connections that a worker accepts
 * @since 0.1
 */
public record LiveInstance(
    String name,
    Kind kind,
    FailureDomain failureDomain,
    String rack,
    String address,
    Optional<String> peerAddress,
    State state,
    Resources capacity,
    int slots,
    int connections) {

  /** The kinds of instances. */
  public enum Kind {
    /** An entry instance, which runs hyssopport. */
    ENTRY,
    /** A worker, which runs requests and tasks. */
    WORKER
  }

  /** The states of a listed instance. */
  public enum State {
    /** The instance is in service. */
    LIVE,
    /** The instance is leaving and must not be given new work. */
    LEAVING
  }
}
