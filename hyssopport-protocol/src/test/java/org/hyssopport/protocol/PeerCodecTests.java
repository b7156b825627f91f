package org.hyssopport.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssopport.engine.Outcome;
import org.hyssopport.engine.PeerMessage;
import org.hyssopport.engine.PeerMessage.Envelope;
import org.hyssopport.engine.Reason;
import org.hyssopport.engine.ServiceRequest;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests {@link PeerCodec} and {@link Frame}.
 *
 * <p>Guards against messages that change in transit, and against malformed bytes that raise an
 * unexpected exception or make the receiver allocate memory for a length that they only claim.
 */
class PeerCodecTests {

  private static final Instant NOW = Instant.ofEpochMilli(1_700_000_000_123L);
  private static final EntryId SENDER = new EntryId("north-1", "abc");

  @ParameterizedTest
  @MethodSource("messages")
  void everyMessageIsDecodedUnchanged(PeerMessage message) {
    Envelope envelope = new Envelope(SENDER, Optional.of(new EntryId("south-1", "x")), message);
    assertEquals(envelope, PeerCodec.decode(PeerCodec.encode(envelope)).get());
  }

  @Property(tries = 500, seed = "4")
  void arbitraryBytesAreRejectedWithoutException(@ForAll byte[] bytes) {
    assertTrue(PeerCodec.decode(bytes).isLeft());
  }

  @Test
  void frameIsReadBackUnchanged() throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    Frame.write(new DataOutputStream(out), new byte[] {1, 2, 3});
    assertArrayEquals(new byte[] {1, 2, 3}, Frame.read(input(out.toByteArray())));
  }

  @Test
  void frameOverTheLimitIsRejectedBeforeItsPayloadIsRead() {
    byte[] header = {0x7f, 0, 0, 0, Frame.VERSION};
    assertThrows(Frame.FrameException.class, () -> Frame.read(input(header)));
  }

  @Test
  void frameOfAnotherVersionIsRejected() {
    byte[] header = {0, 0, 0, 1, 9, 0};
    assertThrows(Frame.FrameException.class, () -> Frame.read(input(header)));
  }

  @Test
  void truncatedFrameIsRejected() {
    byte[] header = {0, 0, 0, 5, Frame.VERSION, 1, 2};
    assertThrows(EOFException.class, () -> Frame.read(input(header)));
  }

  static Stream<PeerMessage> messages() {
    AttemptId attempt = new AttemptId("north-1@abc-7", 2);
    ServiceRequest request =
        new ServiceRequest(
            "check",
            Optional.of(NOW),
            true,
            Optional.empty(),
            Optional.of("k"),
            Optional.of(NOW),
            "body ü");
    Placement placement = new Placement(new WorkerId("w1"), "b", SENDER, 5, NOW, NOW);
    return Stream.of(
        new PeerMessage.Heartbeat(new FailureDomain("north"), NOW, true, 7, 8, 6, 2),
        new PeerMessage.Forward(attempt, request, true),
        new PeerMessage.ForwardDeclined(attempt, 1, 2),
        new PeerMessage.ForwardAnswered(
            attempt, Outcome.DONE, Reason.COMPLETED, Optional.of("answer"), 12),
        new PeerMessage.ForwardQuery(attempt),
        new PeerMessage.ConfigurationQuery(),
        new PeerMessage.ConfigurationOffered(9, "{}"),
        new PeerMessage.WorkerReleased(new WorkerId("w1")),
        new PeerMessage.ReserveTasks("job", 1, Resources.of(1, 2, 3), 4, NOW),
        new PeerMessage.TasksReserved("job", 1, List.of(placement)),
        new PeerMessage.ReservationCancelled("job", 1));
  }

  private static DataInputStream input(byte[] bytes) {
    return new DataInputStream(new ByteArrayInputStream(bytes));
  }
}
