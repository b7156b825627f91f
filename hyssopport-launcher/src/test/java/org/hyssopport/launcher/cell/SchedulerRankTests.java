package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.hyssopport.protocol.MemberMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how well members suit a scheduler, and what is known of other members. */
class SchedulerRankTests {

  private static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");

  // A member with 0.9 cores and a link of 7 Mbit/s was taken for one that can lead.
  @ParameterizedTest
  @CsvSource({
    "0.75, 1000, 430, SUITED",
    "1.5, 140, 682, SUITED",
    "1.5, 200, 682, SUITED",
    "0.9, 7, 570, NARROW_LINK",
    "0.36, 1000, 430, FEW_PROCESSORS",
    "0.27, 7, 290, UNSUITED",
    "0.36, 10, 330, UNSUITED",
    "1.5, 200, 255, UNSUITED",
    "0.7, 25, 256, SUITED"
  })
  void dependsOnTheScarcestResources(
      double processors, double linkMegabits, long memoryMebibytes, SchedulerRank expected) {
    assertEquals(expected, SchedulerRank.of(processors, linkMegabits, memoryMebibytes));
  }

  @ParameterizedTest
  @CsvSource({
    "true, 0, SUITED",
    "false, 1, NARROW_LINK",
    "false, 3, UNSUITED",
    "true,, NARROW_LINK",
    "false,,",
    "false, 4,",
    "false, -1,"
  })
  void isReadFromHeartbeatsOfAllVersions(
      boolean betterSuited, Integer number, SchedulerRank expected) {
    MemberMessage.MemberHeartbeat heartbeat =
        new MemberMessage.MemberHeartbeat(
            "ourthe", false, betterSuited, Optional.ofNullable(number), 1);
    assertEquals(Optional.ofNullable(expected), SchedulerRank.statedIn(heartbeat));
  }

  @Test
  void ofSuccessorsIsKnownWhileTheySendHeartbeats() {
    Successors successors = new Successors();
    successors.record("a", Optional.of(SchedulerRank.UNSUITED), NOW);
    successors.record("b", Optional.of(SchedulerRank.SUITED), NOW.minusMillis(500));
    assertEquals(Optional.of(SchedulerRank.SUITED), successors.bestRank(NOW));
    assertEquals(Optional.of(SchedulerRank.UNSUITED), successors.bestRank(NOW.plusMillis(500)));
    successors.record("a", Optional.empty(), NOW.plusMillis(600));
    assertEquals(Optional.empty(), successors.bestRank(NOW.plus(Duration.ofMillis(700))));
  }
}
