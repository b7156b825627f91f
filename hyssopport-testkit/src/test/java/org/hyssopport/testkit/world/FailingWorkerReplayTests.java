package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays failures on workers that hold tasks without a foreseeable end, so that they never run
 * nothing.
 */
class FailingWorkerReplayTests {

  private static final Resources WORKER_CAPACITY = Resources.of(64, 262_144, 0);
  private static final int WORKERS = 3;
  private static final int ATTEMPTS = 4;

  private final Simulation simulation = Simulation.create(17, WORKERS, WORKER_CAPACITY, 3, 0.5);

  /** Returns steps with one task on each worker that does not end during the test. */
  static Stream<Named<StepDefinition>> stepsThatHoldAllWorkers() {
    return Stream.of(
        Named.of("lasting tasks", Steps.lasting(WORKERS, 4000)),
        Named.of("long tasks", Steps.plain(WORKERS, 34_000, 600_000)));
  }

  private JobId holdAllWorkers(StepDefinition step) {
    JobId job = simulation.submit(Steps.queue(0, ATTEMPTS), List.of(step));
    simulation.advance(Duration.ofSeconds(1));
    for (int index = 0; index < WORKERS; index++) {
      assertTrue(isRunningOn(job, simulation.workers().atIndex(index)));
    }
    return job;
  }

  private static boolean isRunningOn(JobId job, SimulatedWorker worker) {
    return IntStream.range(0, WORKERS)
        .mapToObj(index -> new RunId(new TaskId(new StepId(job, 0, 0), index), 1))
        .anyMatch(worker::isRunning);
  }

  private List<JobId> submitShortJobs(int count) {
    List<JobId> jobs = new ArrayList<>();
    for (int job = 0; job < count; job++) {
      jobs.add(simulation.submit(Steps.queue(0, ATTEMPTS), List.of(Steps.plain(2, 2000, 500))));
    }
    return jobs;
  }

  private void assertComplete(List<JobId> jobs) {
    simulation.requestJobStates();
    simulation.advance(Duration.ofSeconds(1));
    assertEquals(List.of(), simulation.findings());
    for (JobId job : jobs) {
      assertEquals(Optional.of(JobState.COMPLETE), simulation.state(job));
    }
  }

  // After one job that could never be done, no worker that held a lasting task got work again.
  @ParameterizedTest
  @MethodSource("stepsThatHoldAllWorkers")
  void workersGetWorkAfterJobThatCanNeverBeDone(StepDefinition step) {
    holdAllWorkers(step);
    JobId hopeless =
        simulation.submit(Steps.queue(0, ATTEMPTS), List.of(Steps.plain(8, 2000, 500)));
    simulation.workers().setPlannedFailures(hopeless, 100);
    simulation.advance(Duration.ofSeconds(3));
    assertEquals(Optional.of(JobState.FAILED), stateOf(hopeless));
    List<JobId> jobs = submitShortJobs(10);
    simulation.advance(Duration.ofSeconds(2));
    assertComplete(jobs);
  }

  private Optional<JobState> stateOf(JobId job) {
    simulation.requestJobStates();
    simulation.advance(Duration.ofMillis(100));
    return simulation.state(job);
  }

  // A lasting task that fails wherever it runs has no limit of attempts, so its failures would
  // keep all workers out of service for as long as it lives.
  @Test
  void workersGetWorkBesideLastingTasksThatAlwaysFail() {
    JobId failing = simulation.submit(Steps.queue(0, ATTEMPTS), List.of(Steps.lasting(2, 2000)));
    simulation.workers().setPlannedFailures(failing, 10_000);
    simulation.advance(Duration.ofSeconds(5));
    List<JobId> jobs = submitShortJobs(10);
    simulation.advance(Duration.ofSeconds(2));
    assertComplete(jobs);
  }

  // A worker that had failed three tasks was let back only while it ran nothing.
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2})
  void recoveredWorkerGetsWorkBesideTheTaskThatItHolds(int failingIndex) {
    holdAllWorkers(Steps.lasting(WORKERS, 4000));
    SimulatedWorker failing = simulation.workers().atIndex(failingIndex);
    failing.setFailsEverything(true);
    submitShortJobs(40);
    simulation.advance(Duration.ofSeconds(2));
    failing.setFailsEverything(false);
    simulation.advance(Duration.ofSeconds(15));
    assertAllWorkersGetWork();
  }

  // A lasting task that had begun before its worker turned faulty ended the count of its failures.
  @Test
  void failingWorkerIsPausedThoughTheTaskThatItHoldsWorks() {
    holdAllWorkers(Steps.lasting(WORKERS, 4000));
    simulation.advance(Duration.ofSeconds(5));
    SimulatedWorker failing = simulation.workers().atIndex(0);
    failing.setFailsEverything(true);
    for (int round = 0; round < 12; round++) {
      submitShortJobs(1);
      simulation.advance(Duration.ofMillis(1100));
    }
    assertTrue(
        simulation.decisions().stream()
            .anyMatch(
                line -> line.contains("worker paused") && line.contains(failing.id().name())));
  }

  /** Brings the worker that gets the first tasks into a pause of 16 s, after four trial runs. */
  private SimulatedWorker pauseForLong() {
    SimulatedWorker failing = simulation.workers().atIndex(0);
    failing.setFailsEverything(true);
    for (int round = 0; round < 200 && countPauses(failing) < 5; round++) {
      submitShortJobs(4);
      simulation.advance(Duration.ofMillis(500));
    }
    assertEquals(5, countPauses(failing));
    failing.setFailsEverything(false);
    simulation.advance(Duration.ofSeconds(1));
    return failing;
  }

  private long countPauses(SimulatedWorker worker) {
    return simulation.decisions().stream()
        .filter(line -> line.contains("worker paused") && line.contains(worker.id().name()))
        .count();
  }

  // Nothing else fits, so that the task would wait for the end of a pause of 16 s.
  @Test
  void tasksThatOnlyThePausedWorkerCanTakeAreTriedSoon() {
    SimulatedWorker failing = pauseForLong();
    JobId held =
        simulation.submit(
            Steps.queue(0, ATTEMPTS), List.of(Steps.onePerWorker(Steps.plain(2, 60_000, 60_000))));
    simulation.advance(Duration.ofMillis(500));
    JobId lasting = simulation.submit(Steps.queue(0, ATTEMPTS), List.of(Steps.lasting(1, 20_000)));
    simulation.advance(Duration.ofSeconds(3));
    assertEquals(Optional.of(JobState.RUNNING), stateOf(held));
    assertTrue(isRunningOn(lasting, failing));
  }

  // A gang with several tasks on each worker never fitted on a worker that got one run at a time,
  // and without other work there was no trial run to end that.
  @Test
  void gangThatNeedsThePausedWorkerIsTried() {
    pauseForLong();
    JobId gang =
        simulation.submit(Steps.queue(0, ATTEMPTS), List.of(Steps.gang(3 * WORKERS, 20_000, 500)));
    simulation.advance(Duration.ofSeconds(4));
    assertComplete(List.of(gang));
  }

  /** Submits jobs that fit only if each worker gets one of them. */
  private void assertAllWorkersGetWork() {
    List<JobId> jobs = new ArrayList<>();
    for (int job = 0; job < WORKERS; job++) {
      jobs.add(
          simulation.submit(Steps.queue(0, ATTEMPTS), List.of(Steps.plain(1, 50_000, 60_000))));
    }
    simulation.advance(Duration.ofSeconds(20));
    for (JobId job : jobs) {
      assertEquals(Optional.of(JobState.RUNNING), stateOf(job));
    }
  }

  /** Ways in which a worker is out of service for a time, and back. */
  enum Outage {
    ORDERS_UNANSWERED {
      @Override
      void strike(SimulatedWorker worker, Simulation simulation) {
        cutOff(worker, simulation, Duration.ofMillis(400));
      }
    },
    SILENT {
      @Override
      void strike(SimulatedWorker worker, Simulation simulation) {
        cutOff(worker, simulation, Duration.ofSeconds(3));
      }
    },
    LEASE_EXPIRED {
      @Override
      void strike(SimulatedWorker worker, Simulation simulation) {
        cutOff(worker, simulation, Duration.ofSeconds(15));
      }
    },
    RESTARTED {
      @Override
      void strike(SimulatedWorker worker, Simulation simulation) {
        worker.crash();
        simulation.advance(Duration.ofSeconds(1));
        worker.restart();
      }
    };

    abstract void strike(SimulatedWorker worker, Simulation simulation);

    static void cutOff(SimulatedWorker worker, Simulation simulation, Duration span) {
      worker.setReachable(false);
      simulation.advance(span);
      worker.setReachable(true);
    }
  }

  @ParameterizedTest
  @EnumSource
  void workersGetWorkAgainAfterEachKindOfOutageWhateverTheyRun(Outage outage) {
    holdAllWorkers(Steps.lasting(WORKERS, 4000));
    submitShortJobs(40);
    outage.strike(simulation.workers().atIndex(0), simulation);
    simulation.advance(Duration.ofSeconds(14));
    assertAllWorkersGetWork();
  }

  // Most workers fail and hold lasting tasks; what can't fit on the others must still be tried.
  @Test
  void jobsAreTriedThoughMostWorkersFail() {
    holdAllWorkers(Steps.lasting(WORKERS, 4000));
    for (int index = 0; index < WORKERS; index++) {
      simulation.workers().atIndex(index).setFailsEverything(true);
    }
    submitShortJobs(20);
    simulation.advance(Duration.ofSeconds(2));
    for (int index = 0; index < WORKERS; index++) {
      simulation.workers().atIndex(index).setFailsEverything(false);
    }
    List<JobId> jobs = submitShortJobs(10);
    simulation.advance(Duration.ofSeconds(2));
    assertComplete(jobs);
  }
}
