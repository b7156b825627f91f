package org.hyssopport.engine.scheduler;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.WorkerAvailability.CircuitLimit;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunListener;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.engine.worker.WorkerRunReport;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how many workers {@link WorkerAvailability} keeps out of service at one time. */
class WorkerAvailabilityTests {

  private static final Instant NOW = Instant.parse("2026-12-06T06:00:00Z");
  private static final Duration ANSWER_OVERDUE = Duration.ofMillis(200);
  private static final int WORKERS = 4;
  private static final StepId FAILED_STEP = new StepId(new JobId("0123456789abcde0"), 0, 0);

  private final SchedulerContext context =
      new SchedulerContext(AbstractCellSchedulerTests.SETTINGS);
  private final TrackedWorkerRegistry workers = new TrackedWorkerRegistry(RunListener.NONE);
  private final WorkerAvailability availability = new WorkerAvailability(context, workers);

  @BeforeEach
  void addWorkers() {
    context.setTime(NOW, NOW);
    for (int index = 0; index < WORKERS; index++) {
      addWorker("worker-" + index, "s", index == 0 ? Set.of("label") : Set.of());
    }
  }

  private void addWorker(String id, String service, Set<String> labels) {
    WorkerDescription description =
        new WorkerDescription(
            new WorkerId(id),
            1,
            "127.0.0.1:1",
            service,
            new FailureDomain("ourthe"),
            new Resources(10, 10, 0),
            labels,
            "r1",
            false);
    TrackedWorker worker = TrackedWorker.withoutReport(description, NOW);
    worker.recordReport(WorkerRunReport.complete(1, 1000, List.of(), List.of()), NOW, NOW);
    workers.put(worker);
  }

  private TrackedWorker worker(int index) {
    return workers.find(new WorkerId("worker-" + index)).orElseThrow();
  }

  private void openCircuit(int index) {
    for (int failure = 0; failure < 3; failure++) {
      RunId run = new RunId(new TaskId(FAILED_STEP, failure), 1);
      worker(index).circuitBreaker().recordFailure(run, NOW);
    }
  }

  private static Step step(Optional<String> requiredLabel) {
    StepDefinition definition =
        new StepDefinition(
            1,
            new Resources(1, 1, 0),
            Duration.ofSeconds(1),
            List.of(),
            false,
            false,
            false,
            requiredLabel,
            Optional.empty(),
            0,
            false,
            false);
    JobDefinition job =
        new JobDefinition(
            AbstractCellSchedulerTests.ID,
            new QueuePolicy("q", "s", 0, 1, 1, Duration.ZERO, Optional.empty()),
            "",
            List.of(definition),
            0,
            Instant.EPOCH,
            Duration.ZERO,
            NOW,
            Optional.empty());
    return Job.accepted(job, NOW).steps().get(0);
  }

  @ParameterizedTest
  @CsvSource({"0, 0, NONE", "2, 0, FULL", "3, 0, NONE", "1, 1, FULL", "2, 1, NONE"})
  void circuitsApplyToHalfOfTheWorkersAtMost(int failing, int silent, CircuitLimit expected) {
    for (int index = 0; index < failing; index++) {
      openCircuit(index);
    }
    for (int index = failing; index < failing + silent; index++) {
      worker(index).recordOrderSent(NOW.minus(ANSWER_OVERDUE));
    }
    availability.beginPass();
    WorkerAvailability.EligibleWorkers eligible = availability.forStep(step(Optional.empty()));
    assertEquals(expected, eligible.limit());
    assertEquals(WORKERS - silent, eligible.workers().size());
  }

  // The only worker with a label was out of service for as long as its tasks had failed.
  @Test
  void circuitsDoNotApplyToTheOnlyWorkerThatMeetsTheRequirement() {
    openCircuit(0);
    availability.beginPass();
    assertEquals(CircuitLimit.NONE, availability.forStep(step(Optional.of("label"))).limit());
    assertEquals(CircuitLimit.FULL, availability.forStep(step(Optional.empty())).limit());
  }

  @Test
  void healthyWorkersOfOtherServicesDoNotCount() {
    for (int index = 0; index < WORKERS; index++) {
      addWorker("other-" + index, "other", Set.of());
      openCircuit(index);
    }
    availability.beginPass();
    assertEquals(CircuitLimit.NONE, availability.forStep(step(Optional.empty())).limit());
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 3})
  void workersAreNotTakenForSilentIfMostSeemSo(int silent) {
    for (int index = 0; index < silent; index++) {
      worker(index).recordOrderSent(NOW.minus(ANSWER_OVERDUE));
    }
    availability.beginPass();
    int expected = silent > WORKERS / 2 ? WORKERS : WORKERS - silent;
    assertEquals(expected, availability.forStep(step(Optional.empty())).workers().size());
  }

  // Orders to a worker that can't be reached would be refused again at once.
  @Test
  void unreachableWorkersGetNoWorkBriefly() {
    worker(0).recordUnreachable(NOW);
    availability.beginPass();
    assertEquals(WORKERS - 1, availability.forStep(step(Optional.empty())).workers().size());
    context.setTime(NOW.plusMillis(500), NOW);
    availability.beginPass();
    assertEquals(WORKERS, availability.forStep(step(Optional.empty())).workers().size());
  }
}
