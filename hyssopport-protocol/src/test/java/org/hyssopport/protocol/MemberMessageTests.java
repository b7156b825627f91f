package org.hyssopport.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests messages between members of different versions. */
class MemberMessageTests {

  // The count of an earlier version, a plain map, was read as a count without queues.
  @Test
  void heartbeatsOfSchedulersThatStateNoAgeCarryNoCount() {
    Map<String, Object> heartbeat =
        Map.of(
            "t",
            "l",
            "term",
            7,
            "storeWell",
            true,
            "pending",
            Map.of("plans", 5),
            "members",
            List.of("a:1"));
    byte[] payload =
        MessagePackCodec.of(Map.class).encode(Map.of("sender", "a:1", "message", heartbeat));
    MemberMessage.MemberEnvelope envelope =
        MessagePackCodec.of(MemberMessage.MemberEnvelope.class).decode(payload).get();
    assertEquals(
        new MemberMessage.LeaderHeartbeat(7, true, Optional.empty(), Set.of("a:1")),
        envelope.message());
  }

  @Test
  void heartbeatsOfEarlierVersionsStateNoRank() {
    Map<String, Object> heartbeat =
        Map.of(
            "t",
            "p",
            "failureDomain",
            "a",
            "leaving",
            false,
            "betterSuited",
            true,
            "sentAtMillis",
            7);
    byte[] payload =
        MessagePackCodec.of(Map.class).encode(Map.of("sender", "a:1", "message", heartbeat));
    assertEquals(
        new MemberMessage.MemberHeartbeat("a", false, true, Optional.empty(), 7),
        MessagePackCodec.of(MemberMessage.MemberEnvelope.class).decode(payload).get().message());
  }

  @Test
  void handOversOfEarlierVersionsStateNoCongestion() {
    Map<String, Object> handOver = Map.of("t", "n", "term", 7);
    byte[] payload =
        MessagePackCodec.of(Map.class).encode(Map.of("sender", "a:1", "message", handOver));
    assertEquals(
        new MemberMessage.NotLeading(7, false),
        MessagePackCodec.of(MemberMessage.MemberEnvelope.class).decode(payload).get().message());
  }
}
