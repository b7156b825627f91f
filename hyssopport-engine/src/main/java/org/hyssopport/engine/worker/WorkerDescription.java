package org.hyssopport.engine.worker;

import java.util.Set;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;

/**
 * A worker's description of itself in the live list.
 *
 * @param id the worker's id, which a later incarnation may keep
 * @param incarnation the time of its start in milliseconds, so that a restart has a higher number
 * @param address the address that orders and polls go to, or an empty string if unknown
 * @param service the service that it belongs to
 * @param failureDomain its failure domain
 * @param capacity its resources in total
 * @param labels the labels that a step can require: its kind and its rack
 * @param rack its rack, or an empty string
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
   * Returns the description of a later incarnation to use until that incarnation describes itself.
   * It is marked as draining, so that it gets no new work: its capacity and kind may differ.
   */
  public WorkerDescription restartedAs(long newIncarnation) {
    return new WorkerDescription(
        id, newIncarnation, address, service, failureDomain, capacity, labels, rack, true);
  }
}
