package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests what becomes of requests while one scheduler follows the other. */
class ForwardingRequestHandlerTakeOverTests extends AbstractForwardingRequestHandlerTests {

  // While one scheduler followed the other, each member stored the requests of its callers by
  // itself, and the next term waited for a slow store behind them.
  @ParameterizedTest
  @MethodSource(
      "org.hyssopport.launcher.cell.AbstractForwardingRequestHandlerTests#appendedRequests")
  void waitsForTheNextSchedulerIfItIsExpected(CallerRequest request, Verdict verdict) {
    storeWorks = true;
    scheduler.nextSchedulerExpected = true;
    AtomicInteger appends = new AtomicInteger();
    beforeStoreAnswer = appends::incrementAndGet;
    Threads.start(
        "next-scheduler",
        () -> {
          Threads.pause(300);
          scheduler.schedulerKnown = true;
          scheduler.schedulerSeenRecently = true;
          scheduler.nextSchedulerExpected = false;
          scheduler.afterSend =
              () -> handler.onSchedulerAnswer(scheduler.sentNumber, CallerAnswer.of(verdict));
          handler.resendOpenRequests();
        });
    CallerAnswer answer = handler.handle(request, clock.instant().plusSeconds(3));
    assertEquals(verdict, answer.verdict());
    assertEquals(0, appends.get());
  }

  @ParameterizedTest
  @MethodSource(
      "org.hyssopport.launcher.cell.AbstractForwardingRequestHandlerTests#appendedRequests")
  void storesRequestsIfTheNextSchedulerIsLate(CallerRequest request, Verdict verdict) {
    storeWorks = true;
    scheduler.nextSchedulerExpected = true;
    CallerAnswer answer = handler.handle(request, clock.instant().plusMillis(1500));
    assertEquals(verdict, answer.verdict());
  }

  @Test
  void refusesRequestsAtOnceIfTheStoreIsAwayWhileTheNextSchedulerIsExpected() {
    scheduler.storeAvailable = false;
    scheduler.nextSchedulerExpected = true;
    Instant begin = clock.instant();
    assertEquals(
        Verdict.UNAVAILABLE, handler.handle(SUBMIT, clock.instant().plusSeconds(3)).verdict());
    assertTrue(clock.instant().isBefore(begin.plusSeconds(1)));
  }
}
