package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.platform.LiveListEntryDecoder;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StorePage;
import org.hyssopport.platform.StoreRecord;

/**
 * Caches the live list, in which workers describe themselves in the store.
 *
 * <p>Outlives the terms of its member: a member that may become the scheduler knows the workers
 * whose entries expire while the store is away.
 */
final class LiveWorkerCache {

  /**
   * Workers that live enter themselves again within about 2 s of the store's return; the rest is
   * for the interval between two reads.
   */
  private static final Duration REENTRY_TIME = Duration.ofMillis(2500);

  private final MetadataStore store;
  private final DecisionLog log;
  private final InstantSource clock;
  private final Map<String, WorkerDescription> workers = new HashMap<>();
  private final Map<String, WorkerDescription> lapsed = new HashMap<>();
  private Optional<Long> nextOffset = Optional.empty();
  private boolean readFailed;
  private Instant reentryUntil = Instant.MIN;

  LiveWorkerCache(MetadataStore store, DecisionLog log, InstantSource clock) {
    this.store = store;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Reads the changes since the last call; returns false if they could not be read. If the store
   * has dropped unread changes, the next call reads the whole list.
   */
  synchronized boolean refresh() {
    Either<StoreFailure, StorePage> page =
        nextOffset.isEmpty()
            ? store.readNewest(LiveListEntryDecoder.TOPIC)
            : store.read(LiveListEntryDecoder.TOPIC, nextOffset.get(), Duration.ZERO);
    if (page.isLeft()) {
      if (page.getLeft().kind() == StoreFailure.Kind.DROPPED) {
        nextOffset = Optional.empty();
      }
      readFailed = true;
      return false;
    }
    Map<String, WorkerDescription> listedBefore = Map.copyOf(workers);
    if (nextOffset.isEmpty()) {
      workers.clear();
    }
    page.get().records().forEach(this::applyRecord);
    nextOffset = Optional.of(page.get().nextOffset());
    updateLapsed(listedBefore);
    return true;
  }

  private void updateLapsed(Map<String, WorkerDescription> listedBefore) {
    Instant now = clock.instant();
    if (readFailed) {
      readFailed = false;
      reentryUntil = now.plus(REENTRY_TIME);
    }
    if (now.isBefore(reentryUntil)) {
      lapsed.putAll(listedBefore);
      lapsed.keySet().removeAll(workers.keySet());
    } else {
      lapsed.clear();
    }
  }

  private void applyRecord(StoreRecord record) {
    if (record.readable() && record.value().isEmpty()) {
      workers.remove(record.key());
      return;
    }
    Optional<WorkerDescription> worker =
        record.value().flatMap(value -> LiveListEntryDecoder.decode(record.key(), value));
    if (worker.isPresent()) {
      workers.put(record.key(), worker.get());
    } else {
      workers.remove(record.key());
      log.writeUnreadable(
          "live list",
          "live list entry not decodable; worker left out",
          Map.of("key", record.key()));
    }
  }

  /**
   * Returns the workers whose entries expired while the store was away, and that have had no time
   * yet to enter themselves again.
   */
  synchronized List<WorkerDescription> lapsed() {
    return new ArrayList<>(lapsed.values());
  }

  /** Returns the incarnation of each worker that is listed or has lapsed. */
  synchronized Map<WorkerId, Long> incarnations() {
    Map<WorkerId, Long> incarnations = new HashMap<>();
    Stream.concat(lapsed.values().stream(), workers.values().stream())
        .forEach(worker -> incarnations.put(worker.id(), worker.incarnation()));
    return incarnations;
  }

  /** Returns all workers in the list as of the last read. */
  synchronized List<WorkerDescription> workers() {
    return new ArrayList<>(workers.values());
  }
}
