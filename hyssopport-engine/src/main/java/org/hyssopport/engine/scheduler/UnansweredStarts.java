package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;

/**
 * Tracks unanswered start orders for as long as a worker may still receive them.
 *
 * <p>A worker refuses a second start of a run that it knows to have ended. A later incarnation
 * under the same id doesn't know the run and would start it if an order arrived late, so the run
 * has to be stopped there.
 */
final class UnansweredStarts {

  /**
   * An order may arrive up to 12 s late; its sender gives up on the answer about 3 s after that.
   */
  private static final Duration ARRIVAL_WINDOW = Duration.ofSeconds(15);

  private final Map<WorkerId, Map<RunId, Instant>> startsByWorker = new HashMap<>();

  /** Records a start order that got no answer. */
  void add(WorkerId worker, RunId run, Instant now) {
    startsByWorker
        .computeIfAbsent(worker, each -> new HashMap<>())
        .put(run, now.plus(ARRIVAL_WINDOW));
  }

  /** Returns the runs whose start orders may still reach the given worker. */
  List<RunId> possiblyInFlight(WorkerId worker, Instant now) {
    Map<RunId, Instant> starts = startsByWorker.get(worker);
    if (starts == null) {
      return List.of();
    }
    starts.values().removeIf(now::isAfter);
    return List.copyOf(starts.keySet());
  }

  /** Removes the start orders that can no longer arrive. */
  void removeExpired(Instant now) {
    Iterator<Map<RunId, Instant>> iterator = startsByWorker.values().iterator();
    while (iterator.hasNext()) {
      Map<RunId, Instant> starts = iterator.next();
      starts.values().removeIf(now::isAfter);
      if (starts.isEmpty()) {
        iterator.remove();
      }
    }
  }
}
