package org.hyssopport.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;

/**
 * Keeps the workers in order of name, free share and free slots, so that a worker for a task is
 * found without a scan of all workers.
 */
final class WorkerIndex {

  private static final long RANDOM_SEED = 7;

  private final TreeMap<WorkerId, PooledWorker> byName = new TreeMap<>();
  private final Map<WorkerId, Entry> entries = new HashMap<>();
  private final TreeSet<Entry> byFreeShare =
      new TreeSet<>(Comparator.comparingDouble(Entry::freeShare).thenComparing(Entry::id));
  private final TreeSet<Entry> byFreeSlots =
      new TreeSet<>(Comparator.comparingInt(Entry::freeSlots).reversed().thenComparing(Entry::id));
  private final Random random = new Random(RANDOM_SEED);
  private Resources largestCapacity = Resources.NONE;

  Collection<PooledWorker> workers() {
    return byName.values();
  }

  Optional<PooledWorker> worker(WorkerId id) {
    return Optional.ofNullable(byName.get(id));
  }

  /** Adds a worker, or updates its position in each order after its ledger changed. */
  void update(PooledWorker worker) {
    Entry before = entries.get(worker.id());
    if (before != null) {
      byFreeShare.remove(before);
      byFreeSlots.remove(before);
    }
    Entry entry = Entry.of(worker);
    byName.put(worker.id(), worker);
    entries.put(worker.id(), entry);
    byFreeShare.add(entry);
    byFreeSlots.add(entry);
    Resources capacity = worker.ledger().capacity();
    largestCapacity =
        new Resources(
            Math.max(largestCapacity.milliProcessors(), capacity.milliProcessors()),
            Math.max(largestCapacity.memoryMebibytes(), capacity.memoryMebibytes()),
            Math.max(largestCapacity.accelerators(), capacity.accelerators()));
  }

  void remove(WorkerId id) {
    Entry entry = entries.remove(id);
    byName.remove(id);
    if (entry != null) {
      byFreeShare.remove(entry);
      byFreeSlots.remove(entry);
    }
  }

  /**
   * Returns the allowed worker with the smallest free share that can hold the resources. The search
   * starts at the share of the largest capacity that the resources need, since no worker with a
   * smaller free share can hold them.
   */
  Optional<PooledWorker> bestFit(Resources resources, Predicate<PooledWorker> allowed) {
    double smallestShare = resources.dominantShareOf(largestCapacity);
    for (Entry entry : byFreeShare.tailSet(Entry.lowerBound(smallestShare))) {
      if (allowed.test(entry.worker())) {
        return Optional.of(entry.worker());
      }
    }
    return Optional.empty();
  }

  /** Returns the allowed worker with the most free slots; empty if none has a free slot. */
  Optional<PooledWorker> workerWithMostFreeSlots(Predicate<PooledWorker> allowed) {
    for (Entry entry : byFreeSlots) {
      if (entry.freeSlots() == 0) {
        return Optional.empty();
      }
      if (allowed.test(entry.worker())) {
        return Optional.of(entry.worker());
      }
    }
    return Optional.empty();
  }

  Optional<PooledWorker> firstByName(Predicate<PooledWorker> allowed) {
    return byName.values().stream().filter(allowed).findFirst();
  }

  Optional<PooledWorker> randomWorker(Predicate<PooledWorker> allowed) {
    java.util.List<PooledWorker> fitting = byName.values().stream().filter(allowed).toList();
    return fitting.isEmpty()
        ? Optional.empty()
        : Optional.of(fitting.get(random.nextInt(fitting.size())));
  }

  /**
   * A worker with the values that it is ordered by.
   *
   * @param id the worker's id; empty for the lower bound of a search
   * @param worker the worker; null for the lower bound of a search
   * @param freeShare the largest free share of any resource
   * @param freeSlots the number of free slots
   */
  private record Entry(String id, PooledWorker worker, double freeShare, int freeSlots) {

    static Entry of(PooledWorker worker) {
      WorkerLedger ledger = worker.ledger();
      double share = ledger.free().dominantShareOf(ledger.capacity());
      return new Entry(worker.id().name(), worker, share, ledger.freeSlots());
    }

    static Entry lowerBound(double freeShare) {
      return new Entry("", null, freeShare, 0);
    }
  }
}
