package org.hyssopport.engine.work;

import java.util.Optional;
import org.hyssopport.engine.platform.StoredRecord;

/**
 * Computes the configuration in force from the records of the configuration stream.
 *
 * <p>A change takes effect only if its base is the version in force when the record is applied, so
 * of two concurrent changes to the same version only the first takes effect.
 *
 * @since 0.1
 */
public final class ConfigurationProjection implements Projection {

  /** The version while no configuration has been accepted. */
  public static final long NO_VERSION = -1;

  private long version = NO_VERSION;
  private Optional<String> text = Optional.empty();

  private ConfigurationProjection() {}

  /** Returns a projection without a configuration. */
  public static ConfigurationProjection empty() {
    return new ConfigurationProjection();
  }

  /** Returns the version in force, which is the offset of the record that set it. */
  public long version() {
    return version;
  }

  /** Returns the configuration in force as JSON, or empty if none has been accepted. */
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
   * The state of the projection, for encoding as JSON.
   *
   * @param version the version in force
   * @param text the configuration in force, as JSON
   */
  record Snapshot(long version, Optional<String> text) {}
}
