package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.platform.ConfigurationDecoder;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StorePage;
import org.hyssopport.platform.StoreRecord;

/**
 * Keeps the configuration in force up to date with the store.
 *
 * <p>It is replaced only by a configuration with a higher version.
 */
final class ConfigurationFollower implements Runnable {

  /**
   * How long a read waits for a new configuration: half of the shortest time within which it has to
   * be in force.
   */
  private static final Duration READ_WAIT = Duration.ofSeconds(1);

  private static final long RETRY_MILLIS = 150;

  private final MetadataStore store;
  private final DecisionLog log;
  private volatile Optional<CellConfiguration> current = Optional.empty();
  private boolean storeAvailable = true;
  private volatile Consumer<Either<StoreFailure, StorePage>> readListener = result -> {};
  private volatile Consumer<CellConfiguration> configurationListener = configuration -> {};

  ConfigurationFollower(MetadataStore store, DecisionLog log) {
    this.store = store;
    this.log = log;
  }

  Optional<CellConfiguration> current() {
    return current;
  }

  /** Sets what receives the result of each read, which tells whether the store is available. */
  void setReadListener(Consumer<Either<StoreFailure, StorePage>> listener) {
    readListener = listener;
  }

  /** Sets what receives each configuration that comes into force. */
  void setConfigurationListener(Consumer<CellConfiguration> listener) {
    configurationListener = listener;
  }

  @Override
  public void run() {
    Optional<Long> nextOffset = Optional.empty();
    while (!Thread.currentThread().isInterrupted()) {
      Either<StoreFailure, StorePage> page =
          nextOffset.isEmpty()
              ? store.readNewest(ConfigurationDecoder.TOPIC)
              : store.read(ConfigurationDecoder.TOPIC, nextOffset.get(), readWait());
      boolean recordsDropped = page.isLeft() && page.getLeft().kind() == StoreFailure.Kind.DROPPED;
      if (recordsDropped && nextOffset.isPresent()) {
        log.write(
            "unread configurations dropped by the store; reading the newest",
            Map.of("topic", ConfigurationDecoder.TOPIC));
        nextOffset = Optional.empty();
        continue;
      }
      recordStoreAvailability(page);
      if (page.isRight()) {
        Threads.runRound("configuration", () -> applyRecords(page.get().records()));
        nextOffset = Optional.of(page.get().nextOffset());
      } else {
        Threads.pause(RETRY_MILLIS);
      }
    }
  }

  /** While the store is unavailable, an answer is to tell of its return at once. */
  private Duration readWait() {
    return storeAvailable ? READ_WAIT : Duration.ZERO;
  }

  private void recordStoreAvailability(Either<StoreFailure, StorePage> page) {
    readListener.accept(page);
    if (page.isRight() != storeAvailable) {
      storeAvailable = page.isRight();
      log.write(
          storeAvailable ? "dependency regained" : "dependency lost",
          Map.of(
              "dependency",
              "store, for the configuration",
              "detail",
              page.isLeft() ? page.getLeft().detail() : ""));
    }
  }

  private void applyRecords(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      boolean deletion = record.readable() && record.value().isEmpty();
      if (record.key().equals(ConfigurationDecoder.KEY) && !deletion) {
        Optional<CellConfiguration> configuration =
            record.value().flatMap(ConfigurationDecoder::decode);
        if (configuration.isEmpty()) {
          log.writeUnreadable(
              "configuration",
              "configuration not decodable; skipped",
              Map.of("offset", record.offset()));
        }
        configuration.ifPresent(this::applyIfNewer);
      }
    }
  }

  private void applyIfNewer(CellConfiguration decoded) {
    boolean isNewer = current.map(inForce -> decoded.version() > inForce.version()).orElse(true);
    if (isNewer) {
      current = Optional.of(decoded);
      log.write(
          "configuration in force",
          Map.of("version", decoded.version(), "routes", decoded.routes().size()));
      configurationListener.accept(decoded);
    }
  }
}
