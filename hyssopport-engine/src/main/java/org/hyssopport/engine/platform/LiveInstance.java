package org.hyssopport.engine.platform;

import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * One line of the platform's live list.
 *
 * @param name the instance's name
 * @param kind whether it is an entry instance or a worker
 * @param failureDomain where it stands
 * @param rack the rack in the failure domain
 * @param address host and port of its HTTP interface
 * @param peerAddress host and port of its peer link, for entry instances
 * @param state whether it is leaving
 * @param capacity what a worker can hold; none for entry instances
 * @param slots how many requests and tasks a worker runs at once
 * @param connections how many connections a worker accepts
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

  /** What an instance is for. */
  public enum Kind {
    /** Runs hyssopport. */
    ENTRY,
    /** Runs tasks. */
    WORKER
  }

  /** Whether an instance stays. */
  public enum State {
    /** In service. */
    LIVE,
    /** Must get no new work. */
    LEAVING
  }
}
