package org.hyssopport.engine.advice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.placement.Candidate;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against steps that miss their objective because of calls to the advice service: calls that
 * name too few workers for their tasks or more than they need, and urgent calls that wait behind
 * others.
 */
class AdviceTests {

  private static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");

  private static StepDefinition step(int tasks, boolean gang) {
    return new StepDefinition(
        tasks,
        new Resources(18_000, 1000, 0),
        Duration.ofSeconds(5),
        List.of(),
        false,
        gang,
        false,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        false);
  }

  private static List<Candidate> emptyWorkers(String name, int count) {
    List<Candidate> candidates = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      WorkerId id = new WorkerId(name + number);
      candidates.add(
          new Candidate(id, "r1", new Resources(64_000, 256_000, 0), Integer.MAX_VALUE, false));
    }
    return candidates;
  }

  /** Three of the tasks, with 18 processors each, fit on an empty worker of 64 processors. */
  @Nested
  class WorkerSelection {

    /** Seventeen workers add up to just under a quarter of the fixed part of a call. */
    private final AdvicePolicy policy =
        new AdvicePolicy(Duration.ofMillis(702), Duration.ofMillis(10), Duration.ofMillis(1500));

    @ParameterizedTest
    @CsvSource({
      // Capacity for 12 tasks (1.5 times 8) takes 16 workers of which a quarter is good.
      // A call names at least 17.
      "8, false, 0, 17",
      // Capacity for 60 tasks (1.5 times 40) takes 80 such workers.
      "40, false, 0, 80",
      // Capacity for 60 tasks (3 times the 20 of a gang) takes 80 such workers.
      "20, true, 0, 80",
      // The service accepts at most 100 workers in a call.
      "100, true, 0, 100"
    })
    void namesEnoughWorkersForTheTasksAndNoMore(int tasks, boolean gang, int good, int expected) {
      List<WorkerId> named =
          AdviceWorkerSelector.select(
              step(tasks, gang),
              tasks,
              emptyWorkers("good", good),
              emptyWorkers("new", 200),
              0.25,
              policy);
      assertEquals(expected, named.size());
    }

    @Test
    void namesOnlyGoodWorkersIfTheyHaveCapacityForAllTasks() {
      List<WorkerId> named =
          AdviceWorkerSelector.select(
              step(6, true), 6, emptyWorkers("good", 10), emptyWorkers("new", 200), 0.25, policy);
      assertEquals(2, named.size());
      assertTrue(named.stream().allMatch(worker -> worker.name().startsWith("good")));
    }

    @Test
    void namesNoWorkerIfNoneHasCapacity() {
      assertEquals(
          List.of(),
          AdviceWorkerSelector.select(step(6, true), 6, List.of(), List.of(), 0.25, policy));
    }
  }

  @Nested
  class CallOrder {

    private AdviceCall call(long number, int priority, long startInMillis, long millis) {
      return new AdviceCall(
          number,
          new StepId(new JobId(String.format("%016x", number)), 0, 0),
          Map.of(),
          priority,
          NOW.plusMillis(startInMillis),
          Duration.ofMillis(millis));
    }

    private List<Long> dispatched(AdviceCall... calls) {
      AdviceDispatcher dispatcher = AdviceDispatcher.create();
      dispatcher.setMembers(Set.of("a"));
      for (AdviceCall call : calls) {
        dispatcher.enqueue(call);
      }
      return dispatcher.dispatch(NOW).stream().map(dispatch -> dispatch.call().number()).toList();
    }

    @Test
    void earliestStartComesFirst() {
      assertEquals(List.of(2L), dispatched(call(1, 1, 5000, 400), call(2, 1, 3000, 300)));
    }

    @Test
    void moreUrgentQueueComesFirstEvenIfLate() {
      assertEquals(List.of(2L), dispatched(call(1, 1, 5000, 400), call(2, 0, -1000, 20)));
    }

    @Test
    void callThatCannotMeetItsObjectiveWaitsForOthers() {
      assertEquals(List.of(2L), dispatched(call(1, 1, 300, 400), call(2, 1, 3000, 300)));
    }
  }

  /** A member makes one call at a time, so a call without a purpose delays all others. */
  @Nested
  class CancelledCalls {

    private static final Duration OVERDUE = Duration.ofSeconds(10);

    private final AdviceDispatcher dispatcher = AdviceDispatcher.create();

    private AdviceCall call(long number) {
      StepId step = new StepId(new JobId(String.format("%016x", number)), 0, 0);
      return new AdviceCall(number, step, Map.of(), 0, NOW, Duration.ofMillis(300));
    }

    private List<Long> dispatchedAt(Instant at) {
      return dispatcher.dispatch(at).stream().map(dispatch -> dispatch.call().number()).toList();
    }

    @BeforeEach
    void cancelCallInFlight() {
      dispatcher.setMembers(Set.of("a"));
      dispatcher.enqueue(call(1));
      assertEquals(List.of(1L), dispatchedAt(NOW));
      dispatcher.cancel(call(1).step());
      dispatcher.enqueue(call(2));
    }

    // While the service did not answer, the call of an ended step was made again and again.
    @Test
    void areNotRepeatedOnceTheyTimeOut() {
      assertEquals(List.of(), dispatchedAt(NOW.plus(OVERDUE)));
      assertEquals(List.of(2L), dispatchedAt(NOW.plus(OVERDUE.multipliedBy(2))));
    }

    @Test
    void areNotRepeatedOnceTheyFail() {
      dispatcher.requeueUnanswered(1, NOW);
      assertEquals(List.of(2L), dispatchedAt(NOW.plus(OVERDUE)));
    }

    @Test
    void areNotRepeatedOnceTheirMemberIsLost() {
      dispatcher.setMembers(Set.of("b"));
      assertEquals(List.of(2L), dispatchedAt(NOW));
    }

    @Test
    void keepTheirMemberBusyUntilTheyAreAnswered() {
      assertEquals(List.of(), dispatchedAt(NOW));
      dispatcher.recordAnswer(1);
      assertEquals(List.of(2L), dispatchedAt(NOW));
    }
  }

  @Nested
  class GoodWorkerShare {

    @Test
    void followsTheAnswers() {
      GoodWorkerShareEstimate share = GoodWorkerShareEstimate.initial();
      share.recordAnswer(400, 100);
      assertEquals(0.25, share.expectedShare(), 0.01);
    }
  }
}
