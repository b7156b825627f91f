package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.hyssopport.launcher.cell.CongestionDetector.Backlog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays the queue of orders in front of a link, and checks when it counts as congested. */
class CongestionDetectorTests {

  private static final Instant START = Instant.parse("2026-12-04T06:00:00Z");
  private static final int TICK_MILLIS = 20;

  /** What a scheduler sends for one start, by {@link SchedulerRank#REQUIRED_LINK_MEGABITS}. */
  private static final int BITS_PER_START = 8 * 2200;

  private final CongestionDetector detector = new CongestionDetector();
  private final Deque<Instant> orders = new ArrayDeque<>();
  private Instant now = START;
  private double sendable;
  private double ordered;

  /** Plays a load of starts in front of a link; returns whether its queue is congested then. */
  private boolean play(Duration time, int startsPerSecond, double megabits) {
    Instant end = now.plus(time);
    while (now.isBefore(end)) {
      now = now.plusMillis(TICK_MILLIS);
      ordered += startsPerSecond * TICK_MILLIS / 1000.0;
      for (; ordered >= 1; ordered--) {
        orders.add(now);
      }
      sendable += megabits * 1e6 / BITS_PER_START * TICK_MILLIS / 1000.0;
      for (; sendable >= 1; sendable--) {
        orders.poll();
      }
      detector.observe(Backlog.ORDERS, Optional.ofNullable(orders.peek()), now);
    }
    return detector.isCongested(Backlog.ORDERS, now);
  }

  // The narrow link of a day whose starts reached the workers 1.6 s late: 650 starts a second.
  @ParameterizedTest
  @CsvSource({"650, 7, true", "440, 7, true", "300, 7, false", "650, 140, false", "650, 25, false"})
  void ofLinksDependsOnTheirWidth(int startsPerSecond, double megabits, boolean expected) {
    assertEquals(expected, play(Duration.ofSeconds(8), startsPerSecond, megabits));
  }

  @Test
  void isNoticedWhileTheLinkNarrows() {
    assertFalse(play(Duration.ofSeconds(10), 650, 140));
    assertFalse(play(Duration.ofSeconds(2), 650, 7));
    assertTrue(play(Duration.ofSeconds(3), 650, 7));
    assertFalse(play(Duration.ofSeconds(1), 650, 140));
  }

  // With no other member to lead, orders of 650 starts a second waited ever longer.
  @Test
  void endsWhenNoMoreIsPlacedThanCanBeSent() {
    StartThrottle throttle = new StartThrottle();
    Optional<Integer> limit = Optional.empty();
    long sent = 0;
    for (int tick = 0; tick < 1000; tick++) {
      boolean atLimit = limit.filter(most -> orders.size() >= most).isPresent();
      int before = orders.size();
      boolean congested = play(Duration.ofMillis(TICK_MILLIS), atLimit ? 0 : 650, 7);
      sent += before + (atLimit ? 0 : 13) - orders.size();
      limit = throttle.update(congested, sent, now);
    }
    assertEquals(Optional.of(79), limit);
    assertFalse(detector.isCongested(Backlog.ORDERS, now));
    assertTrue(orders.size() <= limit.get() + 13, orders.size() + " orders wait");
    assertTrue(sent > 19 * 390, sent + " orders sent");
    now = now.plusSeconds(1);
    assertEquals(Optional.empty(), throttle.update(false, sent + 200, now));
  }

  // A hand-over costs more than a delay that is over by then.
  @Test
  void isNotSeenInOneShortDelay() {
    assertFalse(play(Duration.ofMillis(1500), 650, 0.1));
    assertFalse(play(Duration.ofSeconds(1), 650, 140));
    assertFalse(play(Duration.ofMillis(1500), 650, 0.1));
  }

  @Test
  void ofTheStoreIsNoReasonToHandOver() {
    assertTrue(Backlog.ORDERS.isEndedByHandOver());
    assertTrue(Backlog.EVENTS.isEndedByHandOver());
    assertFalse(Backlog.APPENDS.isEndedByHandOver());
  }
}
