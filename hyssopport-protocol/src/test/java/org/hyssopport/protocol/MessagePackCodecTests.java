package org.hyssopport.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests payloads that other processes may leave.
 *
 * <p>Guards against an error that ends the reading thread, and against values that lack a part.
 */
class MessagePackCodecTests {

  /** The size of the threads' stacks in deploy/system.toml. */
  private static final long STACK_BYTES = 256 * 1024;

  private static final MessagePackCodec<JobDefinition> JOBS =
      MessagePackCodec.of(JobDefinition.class);
  private static final MessagePackCodec<MemberMessage.MemberEnvelope> MESSAGES =
      MessagePackCodec.of(MemberMessage.MemberEnvelope.class);

  private static JobDefinition job() {
    StepDefinition step =
        new StepDefinition(
            1,
            new Resources(1, 1, 0),
            Duration.ofSeconds(1),
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.of("r1"),
            0,
            false,
            false);
    return new JobDefinition(
        new JobId("0123456789abcdef"),
        new QueuePolicy("q", "s", 0, 1, 1, Duration.ZERO, Optional.empty()),
        "",
        List.of(step, step),
        0,
        Instant.EPOCH,
        Duration.ZERO,
        Instant.EPOCH,
        Optional.empty());
  }

  private static <M> Either<String, M> decodeOnSmallStack(MessagePackCodec<M> codec, byte[] bytes)
      throws InterruptedException {
    AtomicReference<Either<String, M>> result = new AtomicReference<>();
    AtomicReference<Throwable> error = new AtomicReference<>();
    Thread thread =
        new Thread(null, () -> result.set(codec.decode(bytes)), "small-stack", STACK_BYTES);
    thread.setUncaughtExceptionHandler((failed, thrown) -> error.set(thrown));
    thread.start();
    thread.join();
    assertEquals(null, error.get());
    return result.get();
  }

  /** Returns a map of one field, whose value is the given hexadecimal text. */
  private static byte[] fieldOf(String name, String value) {
    String nameHex = HexFormat.of().formatHex(name.getBytes(StandardCharsets.UTF_8));
    return HexFormat.of()
        .parseHex("81" + String.format("%02x", 0xa0 + name.length()) + nameHex + value);
  }

  // The lengths of the two lists added up to a negative number, which passed for the end; the
  // third length was allocated, and the OutOfMemoryError ended the thread.
  @ParameterizedTest
  @ValueSource(
      strings = {
        "dd7fffffffdd7fffffffc67fffffff",
        "dd7fffffffdd7fffffffdb7fffffff",
        "dd7fffffffdf7fffffffc97fffffff01",
        "dd7fffffffdf7fffffff01"
      })
  void areRejectedIfTheirLengthsAddUpBeyondTheEnd(String value) throws InterruptedException {
    assertTrue(decodeOnSmallStack(JOBS, fieldOf("unknown", value)).isLeft());
    assertTrue(decodeOnSmallStack(MESSAGES, fieldOf("unknown", value)).isLeft());
  }

  @ParameterizedTest
  @CsvSource({"91, 40", "91, 900", "91, 5000", "91, 100000", "81a161, 40", "81a161, 100000"})
  void areRejectedIfTheyAreNestedTooDeeply(String level, int depth) throws InterruptedException {
    byte[] bytes = fieldOf("unknown", level.repeat(depth) + "01");
    assertTrue(decodeOnSmallStack(JOBS, bytes).isLeft());
    assertTrue(decodeOnSmallStack(MESSAGES, bytes).isLeft());
  }

  // A missing part became null, and the scheduler's thread ended when it used it.
  @Test
  void areRejectedIfPartsAreMissing() {
    assertTrue(JOBS.decode(new byte[] {(byte) 0x80}).isLeft());
    assertTrue(MESSAGES.decode(new byte[] {(byte) 0x80}).isLeft());
    assertTrue(JOBS.decode(fieldOf("occurrences", "01")).isLeft());
  }

  @Test
  void areRejectedWithAnElementThatIsNull() {
    byte[] bytes =
        MessagePackCodec.of(MemberMessage.LeaderHeartbeat.class)
            .encode(new MemberMessage.LeaderHeartbeat(1, true, Optional.empty(), Set.of("a")));
    String hex = HexFormat.of().formatHex(bytes);
    assertTrue(hex.contains("91a161"), hex);
    byte[] withNull = HexFormat.of().parseHex(hex.replace("91a161", "91c0"));
    assertTrue(MessagePackCodec.of(MemberMessage.LeaderHeartbeat.class).decode(withNull).isLeft());
  }

  @Test
  void areDecodedWithAndWithoutOptionalParts() {
    assertEquals(Either.right(job()), JOBS.decode(JOBS.encode(job())));
    MessagePackCodec<MemberMessage.LeaderHeartbeat> heartbeats =
        MessagePackCodec.of(MemberMessage.LeaderHeartbeat.class);
    MemberMessage.LeaderHeartbeat heartbeat =
        new MemberMessage.LeaderHeartbeat(1, true, Optional.empty(), Set.of());
    assertEquals(Either.right(heartbeat), heartbeats.decode(heartbeats.encode(heartbeat)));
    // {"t":"l","term":1,"storeWell":true,"members":[]}, as an earlier version sends it
    byte[] earlier =
        HexFormat.of().parseHex("84a174a16ca47465726d01a973746f726557656c6cc3a76d656d6265727390");
    assertEquals(Either.right(heartbeat), heartbeats.decode(earlier));
  }
}
