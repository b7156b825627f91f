package org.hyssopport.testkit.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.zip.CRC32;
import org.hyssopport.policy.Json;

/**
 * The behaviour of a run on a stand-in worker, as its payload prescribes it.
 *
 * @param runTime the run time
 * @param fails whether the run fails
 * @param answer the answer if the run is done
 * @since 0.1
 */
public record WorkScript(Duration runTime, boolean fails, String answer) {

  private static final long DEFAULT_RUN_MILLIS = 20;

  /**
   * Parses a payload.
   *
   * @param payload JSON with the optional keys {@code runMillis} and {@code fails}; any other text
   *     makes a run of 20 ms that doesn't fail
   */
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

  /** Returns the only correct answer to a payload; it contains a checksum of the payload. */
  public static String answerTo(String payload) {
    CRC32 checksum = new CRC32();
    checksum.update(payload.getBytes(StandardCharsets.UTF_8));
    return "answer " + Long.toHexString(checksum.getValue()) + " to " + payload;
  }
}
