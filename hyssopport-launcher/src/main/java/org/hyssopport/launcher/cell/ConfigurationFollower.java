package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.platform.ConfigurationDecoder;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StorePage;
import org.hyssopport.platform.StoreRecord;

/** Follows the configuration; what is in force only ever gets newer. */
final class ConfigurationFollower implements Runnable {

  /** Half of the shortest time within which a configuration has to be in force. */
  private static final Duration WAIT = Duration.ofSeconds(1);

  private static final long RETRY_MILLIS = 150;

  private final MetadataStore store;
  private final DecisionLog log;
  private volatile Optional<CellConfiguration> current = Optional.empty();
  private boolean reached = true;

  ConfigurationFollower(MetadataStore store, DecisionLog log) {
    this.store = store;
    this.log = log;
  }

  Optional<CellConfiguration> current() {
    return current;
  }

  @Override
  public void run() {
    Optional<Long> next = Optional.empty();
    while (!Thread.currentThread().isInterrupted()) {
      Either<StoreFailure, StorePage> page =
          next.isEmpty()
              ? store.newest(ConfigurationDecoder.TOPIC)
              : store.read(ConfigurationDecoder.TOPIC, next.get(), WAIT);
      boolean dropped = page.isLeft() && page.getLeft().kind() == StoreFailure.Kind.DROPPED;
      if (dropped && next.isPresent()) {
        log.write("history dropped", Map.of("topic", ConfigurationDecoder.TOPIC));
        next = Optional.empty();
        continue;
      }
      note(page);
      if (page.isRight()) {
        take(page.get().records());
        next = Optional.of(page.get().next());
      } else {
        Threads.pause(RETRY_MILLIS);
      }
    }
  }

  private void note(Either<StoreFailure, StorePage> page) {
    if (page.isRight() != reached) {
      reached = page.isRight();
      log.write(
          reached ? "dependency regained" : "dependency lost",
          Map.of(
              "dependency",
              "store, for the configuration",
              "detail",
              page.isLeft() ? page.getLeft().detail() : ""));
    }
  }

  private void take(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      if (record.key().equals(ConfigurationDecoder.KEY) && record.value().isPresent()) {
        Optional<CellConfiguration> read = ConfigurationDecoder.read(record.value().get());
        if (read.isEmpty()) {
          log.write("configuration skipped", Map.of("offset", record.offset()));
        }
        read.ifPresent(this::applyIfNewer);
      }
    }
  }

  private void applyIfNewer(CellConfiguration newer) {
    boolean rises = current.map(known -> newer.version() > known.version()).orElse(true);
    if (rises) {
      current = Optional.of(newer);
      log.write(
          "configuration in force",
          Map.of("version", newer.version(), "routes", newer.routes().size()));
    }
  }
}
