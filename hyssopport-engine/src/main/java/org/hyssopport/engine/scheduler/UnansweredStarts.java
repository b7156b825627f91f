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
 * Remembers starts without an answer for as long as a worker may still carry them out.
 *
 * <p>A worker refuses a second start of a run that it knows to have ended. A later incarnation
 * under the same id knows nothing of it, so what may still be on its way has to be stopped there.
 */
final class UnansweredStarts {

  /** The platform's longest delay of an order, 12 s, and the time until its answer is given up. */
  private static final Duration ARRIVAL_WINDOW = Duration.ofSeconds(15);

  private final Map<WorkerId, Map<RunId, Instant>> startsByWorker = new HashMap<>();

  /** Notes a start that got no answer. */
  void add(WorkerId worker, RunId run, Instant now) {
    startsByWorker
        .computeIfAbsent(worker, each -> new HashMap<>())
        .put(run, now.plus(ARRIVAL_WINDOW));
  }

  /** Returns the runs whose starts may still reach a worker. */
  List<RunId> possiblyInFlight(WorkerId worker, Instant now) {
    Map<RunId, Instant> starts = startsByWorker.get(worker);
    if (starts == null) {
      return List.of();
    }
    starts.values().removeIf(now::isAfter);
    return List.copyOf(starts.keySet());
  }

  /** Forgets the starts that can reach nobody any more. */
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
