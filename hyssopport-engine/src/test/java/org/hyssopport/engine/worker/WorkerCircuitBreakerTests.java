package org.hyssopport.engine.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when {@link WorkerCircuitBreaker} keeps work from a worker. */
class WorkerCircuitBreakerTests {

  private static final Instant NOW = Instant.parse("2026-12-06T06:00:00Z");
  private static final Instant AFTER_PAUSE = NOW.plusSeconds(3);
  private static final StepId STEP = new StepId(new JobId("0123456789abcdef"), 0, 0);
  private static final StepId OTHER_STEP = new StepId(new JobId("0123456789abcde0"), 0, 0);
  private static final RunId RUN = new RunId(new TaskId(OTHER_STEP, 0), 1);

  private final WorkerCircuitBreaker breaker = WorkerCircuitBreaker.create();

  private void fail(StepId step, int times) {
    for (int count = 0; count < times; count++) {
      breaker.recordFailure(new RunId(new TaskId(step, count), 1), NOW);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void fewFailuresDoNotLimitTheWorker(int failures) {
    fail(STEP, failures);
    assertEquals(Integer.MAX_VALUE, breaker.permittedTasks(NOW, false));
  }

  @Test
  void pauseHasPassedAfterTwoSecondsHoweverManyRunsFailedTogether() {
    fail(STEP, 40);
    assertEquals(0, breaker.permittedTasks(NOW.plusMillis(1999), false));
    assertEquals(1, breaker.permittedTasks(NOW.plusSeconds(2), false));
  }

  @Test
  void failuresOfOneStepAreWithdrawn() {
    fail(STEP, 8);
    fail(OTHER_STEP, 2);
    breaker.withdrawFailures(STEP);
    assertEquals(Integer.MAX_VALUE, breaker.permittedTasks(NOW, false));
    fail(OTHER_STEP, 1);
    assertTrue(breaker.isOpen());
  }

  @Test
  void failuresOfOtherStepsKeepTheCircuitOpen() {
    fail(STEP, 8);
    fail(OTHER_STEP, 3);
    breaker.withdrawFailures(STEP);
    assertTrue(breaker.isOpen());
    assertEquals(0, breaker.permittedTasks(NOW, false));
  }

  /** Tasks that no other worker can take must not wait for the end of a long pause. */
  @Nested
  class DuringLongPauses {

    private final Instant thirdPauseAt = NOW.plusSeconds(2 + 4);

    @BeforeEach
    void failTrials() {
      fail(STEP, 3);
      breaker.recordPlacement(RUN, NOW.plusSeconds(2));
      breaker.recordRunOver(RUN);
      breaker.recordFailure(RUN, NOW.plusSeconds(2));
      breaker.recordPlacement(RUN, thirdPauseAt);
      breaker.recordRunOver(RUN);
      breaker.recordFailure(RUN, thirdPauseAt);
    }

    @Test
    void starvedStepsGetTrialRunsAfterTwoSeconds() {
      Instant later = thirdPauseAt.plusSeconds(2);
      assertEquals(0, breaker.permittedTasks(later, false));
      assertEquals(0, breaker.permittedTasks(later.minusMillis(1), true));
      assertEquals(1, breaker.permittedTasks(later, true));
    }

    @Test
    void failedTrialRunOfStarvedStepBeginsTheNextPause() {
      Instant later = thirdPauseAt.plusSeconds(2);
      breaker.recordPlacement(RUN, later);
      breaker.recordRunOver(RUN);
      breaker.recordFailure(RUN, later);
      assertEquals(0, breaker.permittedTasks(later.plusMillis(1999), true));
      assertEquals(0, breaker.permittedTasks(thirdPauseAt.plusSeconds(8), false));
    }
  }

  @Nested
  class AfterThePause {

    @BeforeEach
    void open() {
      fail(STEP, 3);
    }

    @Test
    void trialRunHoldsUpTheNextOne() {
      breaker.recordPlacement(RUN, AFTER_PAUSE);
      assertEquals(0, breaker.permittedTasks(AFTER_PAUSE, false));
    }

    @Test
    void trialRunThatLeavesTheWorkerWithoutResultMakesRoomForTheNextOne() {
      breaker.recordPlacement(RUN, AFTER_PAUSE);
      breaker.recordRunOver(RUN);
      assertEquals(1, breaker.permittedTasks(AFTER_PAUSE, false));
    }

    @Test
    void trialRunThatDoesNotEndMakesRoomForTheNextOne() {
      breaker.recordPlacement(RUN, AFTER_PAUSE);
      Instant later = AFTER_PAUSE.plus(WorkerCircuitBreaker.TRIAL_TIME);
      assertEquals(1, breaker.permittedTasks(later, false));
    }

    @Test
    void completedTaskClosesTheCircuit() {
      breaker.recordPlacement(RUN, AFTER_PAUSE);
      breaker.recordSuccess();
      assertFalse(breaker.isOpen());
      assertEquals(Integer.MAX_VALUE, breaker.permittedTasks(AFTER_PAUSE, false));
    }

    @Test
    void taskWithoutEndThatWorksClosesTheCircuitIfItWasStartedAfterTheLastFailure() {
      breaker.recordSteadyRun(NOW);
      assertTrue(breaker.isOpen());
      breaker.recordSteadyRun(AFTER_PAUSE);
      assertFalse(breaker.isOpen());
    }

    @Test
    void eachFailedTrialDoublesThePauseUpToSixteenSeconds() {
      Instant at = AFTER_PAUSE;
      for (long seconds : new long[] {4, 8, 16, 16, 16}) {
        breaker.recordFailure(RUN, at);
        Instant end = at.plus(Duration.ofSeconds(seconds));
        assertEquals(0, breaker.permittedTasks(end.minusMillis(1), false));
        assertEquals(1, breaker.permittedTasks(end, false));
        at = end;
      }
    }
  }
}
