package org.hyssopport.engine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ejects workers whose work fails far more often than that of the others, so that they get no work.
 *
 * <p>The more often a class of work fails across all workers, the less each failure counts against
 * its worker, so that workers are not blamed for a class that fails everywhere. At most half of the
 * active workers are ejected at once.
 */
final class OutlierEjection {

  private static final double CLASS_SAMPLE_WEIGHT = 0.05;

  private final EngineContext context;
  private final WorkerPool pool;
  private final Map<String, Double> failureShareByClass = new HashMap<>();

  OutlierEjection(EngineContext context, WorkerPool pool) {
    this.context = context;
    this.pool = pool;
  }

  void record(PooledWorker worker, String className, boolean success) {
    double classShare = failureShareByClass.getOrDefault(className, 0.0);
    double failure = success ? 0 : 1 - classShare;
    double sample = success ? 0 : 1;
    failureShareByClass.put(className, classShare + CLASS_SAMPLE_WEIGHT * (sample - classShare));
    if (!success) {
      worker.failureTracker().extendAfterProbe(context.now());
    }
    worker.failureTracker().record(failure);
    ejectIfOutlier(worker);
  }

  private void ejectIfOutlier(PooledWorker worker) {
    if (!worker.failureTracker().isOutlier(0)) {
      return;
    }
    List<Double> shares =
        pool.workers().stream()
            .filter(other -> other.state() == LeaseState.ACTIVE)
            .map(other -> other.failureTracker().failureShare())
            .sorted()
            .toList();
    long ejected =
        pool.workers().stream()
            .filter(other -> other.state() == LeaseState.ACTIVE)
            .filter(other -> other.failureTracker().isEjected())
            .count();
    boolean disabled = !context.settings().policies().failureHandling().ejects();
    if (disabled || shares.isEmpty() || (ejected + 1) * 2 > shares.size()) {
      return;
    }
    double median = shares.get((shares.size() - 1) / 2);
    if (worker.failureTracker().isOutlier(median)) {
      worker.failureTracker().eject(context.now());
      context.recordTimelineEvent(
          TimelineKind.WORKER_EJECTED, worker.id(), worker.failureTracker().failureShare());
    }
  }
}
