package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
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
  private volatile Optional<HeldRecord> record = Optional.empty();
  private boolean storeAvailable = true;
  private volatile boolean storeReachable;
  private volatile Consumer<Either<StoreFailure, StorePage>> readListener = result -> {};
  private volatile BiConsumer<CellConfiguration, Source> configurationListener =
      (configuration, source) -> {};

  ConfigurationFollower(MetadataStore store, DecisionLog log) {
    this.store = store;
    this.log = log;
  }

  Optional<CellConfiguration> current() {
    return current;
  }

  /** Where a configuration was got from. */
  enum Source {
    STORE,
    MEMBER
  }

  /**
   * The value of a configuration's record, as the operator wrote it.
   *
   * @param version the version of the configuration
   * @param value the value, which holds keys and must not be logged
   */
  record HeldRecord(long version, ByteBuffer value) {}

  /** Returns the record of the configuration in force. */
  Optional<HeldRecord> record() {
    return record;
  }

  /** Returns whether the last read succeeded. */
  boolean storeReachable() {
    return storeReachable;
  }

  /** Sets what receives the result of each read, which tells whether the store is available. */
  void setReadListener(Consumer<Either<StoreFailure, StorePage>> listener) {
    readListener = listener;
  }

  /** Sets what receives each configuration that comes into force, and where it was got from. */
  void setConfigurationListener(BiConsumer<CellConfiguration, Source> listener) {
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
    storeReachable = page.isRight();
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
        configuration.ifPresent(
            decoded -> applyIfNewer(decoded, record.value().get(), Source.STORE));
        if (configuration.isEmpty()) {
          log.writeUnreadable(
              "configuration",
              "configuration not decodable; skipped",
              Map.of("offset", record.offset()));
        }
      }
    }
  }

  /**
   * Applies the value of a configuration's record.
   *
   * @return whether it is a configuration newer than the one in force
   */
  boolean apply(byte[] value, Source source) {
    return ConfigurationDecoder.decode(value)
        .filter(decoded -> applyIfNewer(decoded, value, source))
        .isPresent();
  }

  private synchronized boolean applyIfNewer(
      CellConfiguration decoded, byte[] value, Source source) {
    boolean isNewer = current.map(inForce -> decoded.version() > inForce.version()).orElse(true);
    if (isNewer) {
      record =
          Optional.of(new HeldRecord(decoded.version(), ByteBuffer.wrap(value).asReadOnlyBuffer()));
      current = Optional.of(decoded);
      log.write(
          "configuration in force",
          Map.of(
              "version", decoded.version(), "routes", decoded.routes().size(), "source", source));
      configurationListener.accept(decoded, source);
    }
    return isNewer;
  }
}
