package org.hyssopport.engine.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class DepartureRateTests {

  private static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");

  private final DepartureRate rate = DepartureRate.unknown();

  private Instant recordSeconds(Instant from, int seconds, double work) {
    for (int second = 0; second < seconds; second++) {
      rate.recordDepartures(from.plusSeconds(second), from.plusSeconds(second + 1L), work);
    }
    return from.plusSeconds(seconds);
  }

  @Test
  void isUnknownUntilWorkHasWaitedForSomeTime() {
    rate.recordDepartures(NOW, NOW.plusMillis(500), 50);
    assertEquals(Optional.empty(), rate.perSecond(NOW.plusMillis(500)));
  }

  @Test
  void shortStandstillsDoNotMakeBacklogsLookHopeless() {
    Instant standstill = recordSeconds(NOW, 20, 100);
    Instant end = recordSeconds(standstill, 3, 0);
    double perSecond = rate.perSecond(end).orElseThrow();
    // Of the 23 s, weighted with a half-life of 8 s, the last 3 s weigh 0.265.
    assertEquals(73.5, perSecond, 0.1);
  }
}
