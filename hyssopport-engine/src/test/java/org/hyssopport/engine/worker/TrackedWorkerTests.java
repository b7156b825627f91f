package org.hyssopport.engine.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against leases that count as expired too early: their tasks would be started on another
 * worker while the first still runs them. This happens if the scheduler overlooks a lease that its
 * predecessor granted, or that the worker's clock may run slower than its own.
 */
class TrackedWorkerTests {

  private static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");
  private static final Instant INHERITED_LEASE_UNTIL = NOW.plusSeconds(9);

  private final TrackedWorker worker =
      TrackedWorker.withoutReport(
          new WorkerDescription(
              new WorkerId("worker-1"),
              1,
              "127.0.0.1:1",
              "booking",
              new FailureDomain("ourthe"),
              Resources.of(64, 1000, 0),
              Set.of(),
              "r1",
              false),
          INHERITED_LEASE_UNTIL);

  @Nested
  class AfterTakeOver {

    @Test
    void firstReportDoesNotEndInheritedLeases() {
      worker.recordAnswerWithClock(482_113, NOW.plusMillis(20));
      worker.markReportReceived();
      assertEquals(INHERITED_LEASE_UNTIL, worker.leaseExpiresAt());
    }

    @Test
    void ownGrantsDoNotShortenInheritedLeases() {
      worker.recordAnswerWithClock(482_113, NOW.plusMillis(20));
      worker.markReportReceived();
      worker.recordLeaseGranted(482_113 + 2000);
      assertFalse(worker.leaseExpiresAt().isBefore(INHERITED_LEASE_UNTIL));
    }
  }

  @Nested
  class AfterInheritedLeasesExpired {

    @Test
    void leaseDoesNotExpireBeforeTheSlowestClockHasPassedIt() {
      Instant later = INHERITED_LEASE_UNTIL.plusSeconds(60);
      worker.recordAnswerWithClock(100_000, later);
      worker.markReportReceived();
      // A clock that runs at 0.98 of the local rate passes 9.8 s in 10 s.
      worker.recordLeaseGranted(100_000 + 9800);
      assertFalse(worker.leaseExpiresAt().isBefore(later.plus(Duration.ofSeconds(10))));
    }
  }
}
