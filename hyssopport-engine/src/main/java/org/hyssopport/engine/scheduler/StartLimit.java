package org.hyssopport.engine.scheduler;

import java.util.Collection;
import java.util.Optional;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.engine.worker.TrackedWorker;

/**
 * Limits how many starts are on their way at once, from their placement to the result of the order.
 *
 * <p>Applies to a scheduler that can't send its orders in time: what it places beyond that waits as
 * an order until its ticket or its use has run out, and delays the orders behind it.
 */
final class StartLimit {

  private Optional<Integer> most = Optional.empty();
  private long onTheirWay;

  /** Sets the limit, or removes it. */
  void set(Optional<Integer> newMost) {
    most = newMost;
  }

  /** Counts the starts on their way before tasks are placed. */
  void beginPass(Collection<TrackedWorker> workers) {
    if (most.isPresent()) {
      onTheirWay =
          workers.stream()
              .flatMap(worker -> worker.runs().stream())
              .filter(StartLimit::isOnItsWay)
              .count();
    }
  }

  private static boolean isOnItsWay(TrackedRun trackedRun) {
    return trackedRun.phase() == RunPhase.STORING || trackedRun.isStartInFlight();
  }

  /** Records that tasks were placed in this pass. */
  void recordPlaced(int tasks) {
    onTheirWay += tasks;
  }

  /** Returns whether no further step may be placed; the last one may exceed the limit. */
  boolean isReached() {
    return most.filter(limit -> onTheirWay >= limit).isPresent();
  }
}
