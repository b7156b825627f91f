package org.hyssopport.engine.worker;

import java.util.Set;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;

/**
 * A worker as it describes itself in the live list.
 *
 * @param id its id, which a later incarnation may keep
 * @param incarnation the instant of its start in milliseconds; differs for each start
 * @param address where it takes orders
 * @param service the service that it belongs to
 * @param failureDomain its failure domain
 * @param capacity what it can hold
 * @param labels what it can be required by: its kind and its rack
 * @param rack its rack, or an empty text
 * @param draining whether it is about to leave
 * @since 0.2
 */
public record WorkerDescription(
    WorkerId id,
    long incarnation,
    String address,
    String service,
    FailureDomain failureDomain,
    Resources capacity,
    Set<String> labels,
    String rack,
    boolean draining) {

  /**
   * Returns what is known of a later incarnation until it describes itself: it takes no new work,
   * since its size and kind may differ.
   */
  public WorkerDescription restartedAs(long newIncarnation) {
    return new WorkerDescription(
        id, newIncarnation, address, service, failureDomain, capacity, labels, rack, true);
  }
}
