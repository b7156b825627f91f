package org.hyssopport.engine;

import java.util.Optional;
import java.util.function.Predicate;
import org.hyssopport.policy.Resources;

/**
 * The rule by which a worker is chosen among those that a task fits on.
 *
 * @since 0.1
 */
public enum Packing {
  /**
   * Chooses the worker whose largest free share of any resource is the smallest, so that workers
   * with much free capacity stay available for large tasks.
   */
  BEST_FIT {
    @Override
    Optional<PooledWorker> choose(
        WorkerIndex index, Resources resources, Predicate<PooledWorker> allowed) {
      return index.bestFit(resources, allowed);
    }
  },
  /** Chooses the first worker by name. */
  FIRST_FIT {
    @Override
    Optional<PooledWorker> choose(
        WorkerIndex index, Resources resources, Predicate<PooledWorker> allowed) {
      return index.firstByName(allowed);
    }
  },
  /** Chooses a worker at random, with a fixed seed. */
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
