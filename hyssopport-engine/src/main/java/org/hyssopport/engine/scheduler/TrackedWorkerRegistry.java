package org.hyssopport.engine.scheduler;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.TrackedWorker;

/** The tracked workers by id; of a restarted worker, the newest known incarnation. */
final class TrackedWorkerRegistry {

  private final Map<WorkerId, TrackedWorker> workers = new LinkedHashMap<>();

  void put(TrackedWorker worker) {
    workers.put(worker.id(), worker);
  }

  void remove(WorkerId id) {
    workers.remove(id);
  }

  Optional<TrackedWorker> find(WorkerId id) {
    return Optional.ofNullable(workers.get(id));
  }

  Optional<TrackedWorker> find(WorkerId id, long incarnation) {
    return find(id).filter(worker -> worker.description().incarnation() == incarnation);
  }

  Collection<TrackedWorker> all() {
    return workers.values();
  }
}
