package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays more ended runs on one worker than its report has room for, while the store is away or
 * the scheduler is replaced.
 */
class EndsBeyondOneReportTests {

  private static final Resources WORKER_CAPACITY = Resources.of(1000, 20_000_000, 0);
  private static final int TASKS_PER_JOB = 60;
  private static final int TASK_MILLIS = 1000;

  /** Such tasks end before the scheduler gives up the answer to their start. */
  private static final int SHORT_TASK_MILLIS = 300;

  private static final Duration OUTAGE = Duration.ofSeconds(4);

  private final Simulation simulation = Simulation.create(17, 1, WORKER_CAPACITY, 3, 1);
  private final List<JobId> jobs = new ArrayList<>();

  @BeforeEach
  void settle() {
    simulation.advance(Duration.ofSeconds(1));
  }

  private void submit(int tasks, int millis) {
    for (int count = 0; count < tasks; count += TASKS_PER_JOB) {
      jobs.add(
          simulation.submit(Steps.queue(0, 3), List.of(Steps.plain(TASKS_PER_JOB, 50, millis))));
    }
  }

  private void assertAllRanOnce() {
    simulation.requestJobStates();
    simulation.advance(Duration.ofSeconds(1));
    assertEquals(List.of(), simulation.findings());
    assertEquals(
        jobs.size() * TASKS_PER_JOB, simulation.workers().runChecker().startCount(), "starts");
    for (JobId job : jobs) {
      assertEquals(Optional.of(JobState.COMPLETE), simulation.state(job));
    }
  }

  // Runs whose ends the report had no room for were taken for lost and started again.
  @ParameterizedTest
  @ValueSource(ints = {480, 540, 1200, 5040})
  void tasksThatEndDuringAnOutageOfTheStoreDoNotRunAgain(int tasks) {
    submit(tasks, TASK_MILLIS);
    simulation.advance(Duration.ofMillis(TASK_MILLIS / 2));
    simulation.journal().setDown(true);
    simulation.advance(OUTAGE);
    simulation.journal().setDown(false);
    simulation.advance(Duration.ofSeconds(10));
    assertAllRanOnce();
  }

  // The next scheduler took the runs that the first report did not list for over.
  @ParameterizedTest
  @ValueSource(ints = {480, 540, 1200, 5040})
  void tasksThatEndDuringTakeOversDoNotRunAgain(int tasks) {
    submit(tasks, TASK_MILLIS);
    simulation.advance(Duration.ofMillis(TASK_MILLIS / 2));
    simulation.killScheduler();
    simulation.advance(Duration.ofSeconds(10));
    assertAllRanOnce();
  }

  // Starts without an answer must not keep the ends in the report from being acknowledged.
  @ParameterizedTest
  @ValueSource(ints = {540, 1200})
  void endsOfStartsWithoutAnswerAreReadToo(int tasks) {
    simulation.orderFaults().setLostAnswerShare(0.1);
    submit(tasks, SHORT_TASK_MILLIS);
    simulation.advance(Duration.ofMillis(SHORT_TASK_MILLIS / 2));
    simulation.orderFaults().setLostAnswerShare(0);
    simulation.journal().setDown(true);
    simulation.advance(OUTAGE);
    simulation.journal().setDown(false);
    simulation.advance(Duration.ofSeconds(10));
    assertAllRanOnce();
  }
}
