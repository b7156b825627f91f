package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.hyssopport.protocol.MemberMessage.PendingCount;
import org.junit.jupiter.api.Test;

/** Tests how old a count of waiting jobs is taken to be. */
class PendingJobsTests {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:10Z");
  private static final Duration LIMIT = Duration.ofSeconds(2);

  private static PendingJobs countedAt(Instant instant) {
    return new PendingJobs(3, Map.of("plans", 5), instant);
  }

  @Test
  void queuesWithoutWaitingJobsHaveNone() {
    assertEquals(5, countedAt(NOW).of("plans"));
    assertEquals(0, countedAt(NOW).of("others"));
  }

  @Test
  void countsExpireAtTheirLimit() {
    assertTrue(countedAt(NOW.minus(LIMIT).plusMillis(1)).isCountedWithin(LIMIT, NOW));
    assertFalse(countedAt(NOW.minus(LIMIT)).isCountedWithin(LIMIT, NOW));
  }

  // Guards against taking a count as new because the message that carries it has just arrived.
  @Test
  void countsInDelayedAnswersAreAsOldAsTheHeartbeatThatTheyAnswer() {
    Instant heartbeatSentAt = NOW.minusMillis(1900);
    PendingCount message = countedAt(NOW).toMessage(heartbeatSentAt.toEpochMilli(), NOW);
    PendingJobs received = PendingJobs.fromMessage(3, message);
    assertEquals(heartbeatSentAt, received.countedAt());
  }

  @Test
  void theTimeSinceTheCountIsAddedToTheAgeOfTheHeartbeat() {
    PendingCount message = countedAt(NOW.minusMillis(300)).toMessage(NOW.toEpochMilli(), NOW);
    assertEquals(NOW.minusMillis(300), PendingJobs.fromMessage(3, message).countedAt());
  }
}
