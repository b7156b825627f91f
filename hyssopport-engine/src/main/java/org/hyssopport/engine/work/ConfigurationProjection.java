package org.hyssopport.engine.work;

import java.util.Optional;
import org.hyssopport.engine.platform.StoredRecord;

/**
 * The configuration in force: the last change that was made on the version in force before it.
 *
 * @since 0.1
 */
public final class ConfigurationProjection implements Projection {

  /** The version before any configuration was accepted. */
  public static final long NO_VERSION = -1;

  private long version = NO_VERSION;
  private Optional<String> text = Optional.empty();

  private ConfigurationProjection() {}

  /** Returns the state before any configuration. */
  public static ConfigurationProjection empty() {
    return new ConfigurationProjection();
  }

  /** Returns the version in force: the offset of its change. */
  public long version() {
    return version;
  }

  /** Returns the printed configuration in force. */
  public Optional<String> text() {
    return text;
  }

  @Override
  public boolean apply(StoredRecord stored, StreamRecord record) {
    if (!(record instanceof StreamRecord.ConfigurationChanged change)) {
      return false;
    }
    if (change.base() != version) {
      return false;
    }
    version = stored.offset();
    text = Optional.of(change.text());
    return true;
  }

  @Override
  public String snapshot() {
    return RecordCodec.toJson(new Snapshot(version, text), Snapshot.class);
  }

  @Override
  public void restore(String state) {
    Snapshot snapshot = RecordCodec.fromJson(state, Snapshot.class);
    version = snapshot.version();
    text = snapshot.text();
  }

  /**
   * The printed state.
   *
   * @param version the version in force
   * @param text the configuration in force
   */
  record Snapshot(long version, Optional<String> text) {}
}
