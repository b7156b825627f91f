package org.hyssopport.engine.scheduler;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunListener;
import org.hyssopport.engine.worker.TrackedWorker;

/** The tracked workers by id; of a restarted worker, the newest known incarnation. */
final class TrackedWorkerRegistry {

  private final Map<WorkerId, TrackedWorker> workers = new LinkedHashMap<>();
  private final RunListener runListener;

  /**
   * Creates an empty registry.
   *
   * @param runListener is told of all runs that are added to the workers and removed from them
   */
  TrackedWorkerRegistry(RunListener runListener) {
    this.runListener = runListener;
  }

  /** Adds a worker that has no runs yet. */
  void put(TrackedWorker worker) {
    worker.setRunListener(runListener);
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
