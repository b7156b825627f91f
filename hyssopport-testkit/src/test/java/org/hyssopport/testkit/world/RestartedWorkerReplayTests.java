package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays a worker that loses power for a second and restarts under its id, with short tasks that
 * start and end there before the scheduler knows of the restart.
 */
class RestartedWorkerReplayTests {

  private static final Resources WORKER_CAPACITY = Resources.of(64, 262_144, 0);
  private static final int WORKERS = 3;
  private static final int JOBS = 6;
  private static final Duration DOWN_TIME = Duration.ofSeconds(1);

  /** A worker writes its entry every 1.5 s. */
  private static final Duration ENTRY_DELAY = Duration.ofMillis(1500);

  private final Simulation simulation = Simulation.create(17, WORKERS, WORKER_CAPACITY, 3, 0.5);

  /** Returns times of the crash in milliseconds that cover the whole cycle of a waiting poll. */
  static IntStream crashTimes() {
    return IntStream.iterate(3000, millis -> millis < 5000, millis -> millis + 100);
  }

  private List<JobId> submitShortJobs() {
    List<JobId> jobs = new ArrayList<>();
    for (int count = 0; count < JOBS; count++) {
      jobs.add(simulation.submit(Steps.queue(0, 3), List.of(Steps.plain(2, 500, 50))));
    }
    return jobs;
  }

  private SimulatedWorker workerRunning(JobId job) {
    RunId run = new RunId(new TaskId(new StepId(job, 0, 0), 0), 1);
    return IntStream.range(0, WORKERS)
        .mapToObj(simulation.workers()::atIndex)
        .filter(worker -> worker.isRunning(run))
        .findFirst()
        .orElseThrow();
  }

  // The scheduler acknowledged, by the numbers of the earlier incarnation, ends of the new one that
  // it had not read, and started their tasks again.
  @ParameterizedTest
  @MethodSource("crashTimes")
  void tasksThatEndedOnTheNewIncarnationDoNotRunAgain(int crashAtMillis) {
    // The long task makes its worker the fullest one, which gets the short tasks.
    JobId longJob = simulation.submit(Steps.queue(0, 3), List.of(Steps.plain(1, 30_000, 200_000)));
    simulation.advance(Duration.ofSeconds(1));
    List<JobId> jobs = new ArrayList<>(submitShortJobs());
    simulation.advance(Duration.ofMillis(crashAtMillis));
    SimulatedWorker worker = workerRunning(longJob);
    worker.setEntryDelay(ENTRY_DELAY);
    worker.crash();
    simulation.advance(DOWN_TIME);
    worker.restart();
    jobs.addAll(submitShortJobs());
    simulation.advance(Duration.ofSeconds(10));
    simulation.requestJobStates();
    simulation.advance(Duration.ofSeconds(1));
    assertEquals(List.of(), simulation.findings());
    for (JobId job : jobs) {
      assertEquals(Optional.of(JobState.COMPLETE), simulation.state(job));
    }
  }
}
