package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Replays a gang of the size of the whole cell that waits for new tickets, with room reserved on
 * each worker, when the reason of the reservation goes away.
 */
class GangReservationReplayTests {

  private static final Resources WORKER_CAPACITY = Resources.of(64, 262_144, 0);
  private static final int WORKERS = 8;
  private static final int ATTEMPTS = 4;
  private static final int DECIDE_MILLIS = 700;

  /** The time after which a call for the gang's tickets is overdue, and a margin. */
  private static final Duration ANSWER_OVERDUE = Duration.ofMillis(DECIDE_MILLIS + 1500 + 300);

  private final Simulation simulation = Simulation.create(17, WORKERS, WORKER_CAPACITY, 3, 1);

  private JobId gang;

  /** What makes the reservation of the gang pointless. */
  enum Trouble {
    WORKER_CRASHES {
      @Override
      void strike(Simulation simulation, JobId gang) {
        simulation.workers().atIndex(WORKERS - 1).crash();
      }
    },
    WORKER_IS_CUT_OFF {
      @Override
      void strike(Simulation simulation, JobId gang) {
        simulation.workers().atIndex(WORKERS - 1).setReachable(false);
      }
    },
    WORKER_DRAINS {
      @Override
      void strike(Simulation simulation, JobId gang) {
        simulation.workers().atIndex(WORKERS - 1).drain();
      }
    },
    JOB_IS_CANCELLED {
      @Override
      void strike(Simulation simulation, JobId gang) {
        simulation.cancel(gang);
      }
    },
    ADVICE_FALLS_SILENT {
      @Override
      void strike(Simulation simulation, JobId gang) {
        simulation.setAdviceAnswered(false);
      }
    },
    WORKER_CRASHES_AND_ADVICE_FALLS_SILENT {
      @Override
      void strike(Simulation simulation, JobId gang) {
        WORKER_CRASHES.strike(simulation, gang);
        ADVICE_FALLS_SILENT.strike(simulation, gang);
      }
    },
    SCHEDULERS_CHANGE_AND_ADVICE_FALLS_SILENT {
      @Override
      void strike(Simulation simulation, JobId gang) {
        simulation.killScheduler();
        ADVICE_FALLS_SILENT.strike(simulation, gang);
      }
    };

    abstract void strike(Simulation simulation, JobId gang);
  }

  /**
   * Brings the cell to the moment at which the gang fits again, its first tickets have expired, and
   * the second call for them has been made.
   */
  @BeforeEach
  void letGangWaitForNewTickets() {
    // A task on each worker lets the scheduler notice the loss of any of them.
    submit(Steps.onePerWorker(Steps.plain(WORKERS, 2000, 600_000)));
    simulation.advance(Duration.ofSeconds(1));
    gang =
        simulation.submit(
            Steps.advisedQueue(1, DECIDE_MILLIS), List.of(Steps.gang(WORKERS, 40_000, 2000)));
    simulation.advance(Duration.ofMillis(DECIDE_MILLIS / 2));
    // Keeps the gang from being placed until its first tickets have expired.
    submit(Steps.plain(1, 30_000, 3000));
    simulation.advance(Duration.ofSeconds(3));
    assertTrue(countCalls() >= 1);
    long callsBefore = countCalls();
    while (countCalls() == callsBefore) {
      simulation.advance(Duration.ofMillis(10));
    }
  }

  private JobId submit(StepDefinition step) {
    return simulation.submit(Steps.queue(0, ATTEMPTS), List.of(step));
  }

  private long countCalls() {
    return simulation.decisions().stream()
        .filter(line -> line.contains("advice wanted") && line.contains(gang.text()))
        .count();
  }

  // After the loss of one worker, the room on the other seven stayed reserved for a gang that could
  // not be placed any more, and jobs of another queue never ran.
  @ParameterizedTest
  @EnumSource
  void jobsOfOtherQueuesRunOnceTheReasonOfTheReservationIsGone(Trouble trouble) {
    simulation.advance(Duration.ofMillis(DECIDE_MILLIS / 2));
    trouble.strike(simulation, gang);
    simulation.advance(ANSWER_OVERDUE);
    List<JobId> jobs = new ArrayList<>();
    for (int job = 0; job < 6; job++) {
      jobs.add(submit(Steps.plain(1, 30_000, 500)));
    }
    simulation.advance(Duration.ofSeconds(2));
    assertComplete(jobs);
  }

  @Test
  void gangGetsTheRoomThatIsReservedForIt() {
    JobId other = submit(Steps.plain(1, 30_000, 500));
    simulation.advance(Duration.ofMillis(DECIDE_MILLIS + 2500));
    assertComplete(List.of(gang));
    simulation.advance(Duration.ofSeconds(1));
    assertComplete(List.of(other));
  }

  private void assertComplete(List<JobId> jobs) {
    simulation.requestJobStates();
    simulation.advance(Duration.ofMillis(200));
    assertEquals(List.of(), simulation.findings());
    for (JobId job : jobs) {
      assertEquals(Optional.of(JobState.COMPLETE), simulation.state(job));
    }
  }
}
