package org.hyssopport.testkit.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.zip.CRC32;
import org.hyssopport.policy.Json;

/**
 * What a stand-in worker does with a payload.
 *
 * @param runTime how long it runs
 * @param fails whether it fails
 * @param answer what it answers
 * @since 0.1
 */
public record WorkScript(Duration runTime, boolean fails, String answer) {

  private static final long DEFAULT_RUN_MILLIS = 20;

  /** Reads a payload: JSON with {@code runMillis} and {@code fails}, or any text. */
  public static WorkScript of(String payload) {
    long runMillis = DEFAULT_RUN_MILLIS;
    boolean fails = false;
    try {
      JsonNode node = Json.mapper().readTree(payload);
      runMillis = node.path("runMillis").asLong(DEFAULT_RUN_MILLIS);
      fails = node.path("fails").asBoolean(false);
    } catch (JsonProcessingException e) {
      runMillis = DEFAULT_RUN_MILLIS;
    }
    return new WorkScript(Duration.ofMillis(runMillis), fails, answerTo(payload));
  }

  /** Returns the one right answer to a payload. */
  public static String answerTo(String payload) {
    CRC32 checksum = new CRC32();
    checksum.update(payload.getBytes(StandardCharsets.UTF_8));
    return "answer " + Long.toHexString(checksum.getValue()) + " to " + payload;
  }
}
