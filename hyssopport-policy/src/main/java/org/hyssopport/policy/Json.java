package org.hyssopport.policy;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/**
 * The JSON mapper that all modules share.
 *
 * <p>Instants are written as epoch milliseconds and durations as ISO 8601 strings. Null values and
 * empty optionals are omitted when writing; unknown fields are ignored when reading.
 *
 * @since 0.1
 */
public final class Json {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .addModule(new JavaTimeModule())
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_ABSENT, JsonInclude.Include.NON_ABSENT))
          .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS)
          .disable(SerializationFeature.WRITE_DATE_TIMESTAMPS_AS_NANOSECONDS)
          .disable(DeserializationFeature.READ_DATE_TIMESTAMPS_AS_NANOSECONDS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private Json() {}

  /** Returns the shared mapper. Callers must not reconfigure it. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }
}
