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
  private static final Duration ON_THE_WAY = Duration.ofSeconds(15);

  private final Map<WorkerId, Map<RunId, Instant>> unanswered = new HashMap<>();

  /** Notes a start that got no answer. */
  void note(WorkerId worker, RunId run, Instant now) {
    unanswered.computeIfAbsent(worker, each -> new HashMap<>()).put(run, now.plus(ON_THE_WAY));
  }

  /** Returns the runs whose starts may still reach a worker. */
  List<RunId> mayReach(WorkerId worker, Instant now) {
    Map<RunId, Instant> starts = unanswered.get(worker);
    if (starts == null) {
      return List.of();
    }
    starts.values().removeIf(now::isAfter);
    return List.copyOf(starts.keySet());
  }

  /** Forgets the starts that can reach nobody any more. */
  void expire(Instant now) {
    Iterator<Map<RunId, Instant>> each = unanswered.values().iterator();
    while (each.hasNext()) {
      Map<RunId, Instant> starts = each.next();
      starts.values().removeIf(now::isAfter);
      if (starts.isEmpty()) {
        each.remove();
      }
    }
  }
}
