package org.hyssopport.engine;

import java.util.List;
import java.util.Optional;

/**
 * The state of an entry instance as operators see it.
 *
 * @param instance the instance and its incarnation
 * @param failureDomain its failure domain
 * @param ready whether it takes requests
 * @param draining whether it is leaving
 * @param configurationVersion the version in force, -1 for none
 * @param peers the peers that it hears from
 * @param workers the workers that it holds
 * @param waitingRequests requests that wait here
 * @param runningRequests requests that run or are passed on
 * @param unfinishedJobs jobs that have not ended, in the streams that are followed
 * @param clockSuspect workers whose clock is outside the bound
 * @since 0.1
 */
public record StatusView(
    String instance,
    String failureDomain,
    boolean ready,
    boolean draining,
    long configurationVersion,
    List<String> peers,
    List<WorkerLine> workers,
    int waitingRequests,
    int runningRequests,
    int unfinishedJobs,
    int clockSuspect) {

  /**
   * One held worker.
   *
   * @param name the worker
   * @param state the state of its lease here
   * @param usedSlots slots in use
   * @param slots all slots
   * @param ejected whether it gets no work because its work fails
   * @param leaving whether it is leaving
   * @param holder who holds it as far as known
   */
  public record WorkerLine(
      String name,
      String state,
      int usedSlots,
      int slots,
      boolean ejected,
      boolean leaving,
      Optional<String> holder) {}
}
