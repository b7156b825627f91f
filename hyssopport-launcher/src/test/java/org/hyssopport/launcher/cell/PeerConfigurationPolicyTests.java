package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays heartbeats during which an operator withdraws keys. */
class PeerConfigurationPolicyTests {

  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(200);

  /** The shortest time within which callers must find a version in force. */
  private static final Duration TIME_TO_APPLY = Duration.ofSeconds(3);

  private final PeerConfigurationPolicy policy = new PeerConfigurationPolicy();
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");

  /** Returns after how many heartbeats that state version 8 a member with version 7 asks. */
  private int heartbeatsUntilAsked(boolean storeReachable) {
    int heartbeats = 1;
    while (!policy.shouldAsk(8, Optional.of(7L), storeReachable, now)) {
      heartbeats++;
      now = now.plus(HEARTBEAT_INTERVAL);
      assertTrue(heartbeats < 100, "never asked");
    }
    return heartbeats;
  }

  @ParameterizedTest
  @CsvSource({"false, 1", "true, 4"})
  void membersAskSoonerIfTheStoreTurnsThemAway(boolean storeReachable, int heartbeats) {
    assertFalse(policy.shouldAsk(7, Optional.of(7L), storeReachable, now));
    now = now.plusSeconds(60);
    assertEquals(heartbeats, heartbeatsUntilAsked(storeReachable));
  }

  // A store that stops answering without a failure seems reachable until the read times out.
  @Test
  void lostRequestsAreRepeatedInTime() {
    Instant begin = now;
    heartbeatsUntilAsked(true);
    heartbeatsUntilAsked(true);
    assertTrue(now.isBefore(begin.plus(TIME_TO_APPLY)), now.toString());
  }

  @Test
  void oneVersionIsRequestedOnceWhileItsAnswerIsOnItsWay() {
    heartbeatsUntilAsked(false);
    now = now.plus(HEARTBEAT_INTERVAL);
    assertFalse(policy.shouldAsk(8, Optional.of(7L), false, now));
    assertTrue(policy.shouldAsk(9, Optional.of(7L), false, now));
    assertFalse(policy.shouldAsk(9, Optional.of(9L), false, now));
  }

  @Test
  void membersThatJustStartedAskAtOnce() {
    assertTrue(policy.shouldAsk(3, Optional.empty(), false, now));
  }

  @ParameterizedTest
  @CsvSource({
    "true, true, false",
    "true, false, false",
    "false, true, false",
    "false, false, true"
  })
  void anyMemberIsAskedOnlyWithoutStoreAndScheduler(
      boolean storeReachable, boolean schedulerSeen, boolean asked) {
    assertEquals(asked, policy.shouldAskAnyMember(storeReachable, schedulerSeen, now));
  }
}
