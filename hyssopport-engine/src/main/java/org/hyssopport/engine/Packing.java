package org.hyssopport.engine;

import java.util.Optional;
import java.util.function.Predicate;
import org.hyssopport.policy.Resources;

/**
 * How a worker is chosen among those that a task fits on.
 *
 * @since 0.1
 */
public enum Packing {
  /** The worker whose dominant remainder is the smallest, so that large rooms stay whole. */
  BEST_FIT {
    @Override
    Optional<PooledWorker> choose(
        WorkerIndex index, Resources resources, Predicate<PooledWorker> allowed) {
      return index.bestFit(resources, allowed);
    }
  },
  /** The first worker by name. */
  FIRST_FIT {
    @Override
    Optional<PooledWorker> choose(
        WorkerIndex index, Resources resources, Predicate<PooledWorker> allowed) {
      return index.firstByName(allowed);
    }
  },
  /** Any worker, drawn by a fixed-seed generator. */
  RANDOM {
    @Override
    Optional<PooledWorker> choose(
        WorkerIndex index, Resources resources, Predicate<PooledWorker> allowed) {
      return index.randomWorker(allowed);
    }
  };

  abstract Optional<PooledWorker> choose(
      WorkerIndex index, Resources resources, Predicate<PooledWorker> allowed);
}
