package org.hyssopport.engine.work;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.Optional;
import org.hyssopport.policy.Json;

/**
 * Encodes and decodes the bodies of log records and the snapshots of projections as JSON.
 *
 * @since 0.1
 */
public final class RecordCodec {

  private RecordCodec() {}

  /** Returns the record as JSON. */
  public static String encode(StreamRecord record) {
    return toJson(record, StreamRecord.class);
  }

  /**
   * Returns the record, or empty if it can't be decoded, for example because a newer version of the
   * software wrote it.
   */
  public static Optional<StreamRecord> decode(String body) {
    try {
      return Optional.of(Json.mapper().readValue(body, StreamRecord.class));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  static <T> String toJson(T value, Class<? super T> type) {
    try {
      return Json.mapper().writerFor(type).writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          type.getSimpleName() + " can't be encoded as JSON: " + value, e);
    }
  }

  static <T> T fromJson(String text, Class<T> type) {
    try {
      return Json.mapper().readValue(text, type);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(
          type.getSimpleName() + " can't be decoded from JSON: " + text, e);
    }
  }
}
