package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;

/**
 * The resources that are kept free for gangs while they wait for tickets.
 *
 * <p>A gang fits on its workers when its advice call is made, and would often not fit any more when
 * the tickets arrive if other tasks got the room. A reservation ends with its reason: once the gang
 * is placed, no longer waits, or has lost one of its workers, and at the latest when the answer to
 * the call is overdue.
 */
final class GangReservations {

  private final Map<StepId, Reservation> byStep = new HashMap<>();

  private record Reservation(Map<WorkerId, Resources> resources, Instant expiresAt) {}

  /** Why a reservation ended without the gang being placed. */
  enum EndReason {
    NOT_WAITING,
    WORKER_LOST,
    OVERDUE
  }

  /**
   * Reserves the resources for the tasks of a gang on the chosen workers, in place of those that
   * were reserved for it before.
   *
   * @param step the gang
   * @param demand what each of its tasks needs
   * @param chosen a worker for each task; none if the gang does not fit
   * @param expiresAt when the reservation ends at the latest
   */
  void replace(StepId step, Resources demand, List<WorkerId> chosen, Instant expiresAt) {
    byStep.remove(step);
    if (!chosen.isEmpty()) {
      Map<WorkerId, Resources> resources = new HashMap<>();
      chosen.forEach(worker -> resources.merge(worker, demand, Resources::plus));
      byStep.put(step, new Reservation(resources, expiresAt));
    }
  }

  boolean isEmpty() {
    return byStep.isEmpty();
  }

  /** Ends the reservation of a step, if it has one. */
  void release(StepId step) {
    byStep.remove(step);
  }

  /**
   * Ends the reservations whose reason is gone.
   *
   * @param waiting the steps that wait to be placed
   * @param isUsable whether a worker may still get work
   * @param now the reading of the local monotonic clock
   * @return the steps whose reservations have ended, with the reason
   */
  Map<StepId, EndReason> releaseObsolete(
      Set<StepId> waiting, Predicate<WorkerId> isUsable, Instant now) {
    Map<StepId, EndReason> ended = new HashMap<>();
    byStep.forEach(
        (step, reservation) ->
            endReason(step, reservation, waiting, isUsable, now)
                .ifPresent(reason -> ended.put(step, reason)));
    byStep.keySet().removeAll(ended.keySet());
    return ended;
  }

  private static Optional<EndReason> endReason(
      StepId step,
      Reservation reservation,
      Set<StepId> waiting,
      Predicate<WorkerId> isUsable,
      Instant now) {
    if (!waiting.contains(step)) {
      return Optional.of(EndReason.NOT_WAITING);
    }
    if (!reservation.resources().keySet().stream().allMatch(isUsable)) {
      return Optional.of(EndReason.WORKER_LOST);
    }
    return now.isBefore(reservation.expiresAt())
        ? Optional.empty()
        : Optional.of(EndReason.OVERDUE);
  }

  /** Returns what other steps than the given one have reserved on a worker. */
  Resources reservedForOthers(StepId step, WorkerId worker) {
    Resources reserved = Resources.NONE;
    for (Map.Entry<StepId, Reservation> entry : byStep.entrySet()) {
      if (!entry.getKey().equals(step)) {
        reserved = reserved.plus(entry.getValue().resources().getOrDefault(worker, Resources.NONE));
      }
    }
    return reserved;
  }
}
