package org.hyssopport.engine;

import java.util.List;
import java.util.Optional;

/**
 * The state of an entry instance as reported to operators.
 *
 * @param instance the name and the incarnation of the instance
 * @param failureDomain its failure domain
 * @param ready whether it accepts requests
 * @param draining whether it is draining
 * @param configurationVersion the configuration version in force; -1 if there is none
 * @param peers the names of the reachable peers
 * @param workers the workers that the instance knows in its failure domain
 * @param waitingRequests the number of requests that wait on this instance
 * @param runningRequests the number of unfinished requests that do not wait on this instance
 * @param unfinishedJobs the number of jobs that have not ended, in the followed streams
 * @param clockSuspect the number of workers whose clock deviates by more than the clock bound
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
   * A worker in the status.
   *
   * @param name the name of the worker
   * @param state the state of its lease as this instance sees it
   * @param usedSlots the number of slots in use
   * @param slots the total number of slots
   * @param ejected whether it is ejected because its work fails
   * @param leaving whether it is leaving
   * @param holder the other instance that was last known to hold its lease
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
