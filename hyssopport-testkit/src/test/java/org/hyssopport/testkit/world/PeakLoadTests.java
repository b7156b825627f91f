package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The scheduler under loads past its capacity. */
class PeakLoadTests {

  /** A sound worker answers within 5 ms; one that does not gets nothing after this. */
  private static final Duration LONGEST_FILLING = Duration.ofMillis(200);

  /** Forty first stops, and one more each for those that were sent before silence was noticed. */
  private static final int MOST_ORDERS_FOR_FORTY_TASKS = 80;

  @ParameterizedTest
  @ValueSource(doubles = {1, 1.5})
  void noPromiseBreaksAtTheCrest(double scale) {
    Simulation world = PeakLoad.Size.TODAY.world(7);
    PeakLoad.play(world, PeakLoad.Size.TODAY, 11, scale, 24);
    assertEquals(List.of(), world.findings());
  }

  /** A third of the workers is cut off while short jobs arrive every 20 ms. */
  @Test
  void workersThatWereJustCutOffSoonGetNothingNew() {
    Simulation world = Simulation.create(7, 12, Resources.of(64, 262_144, 0), 3, 1);
    world.run(Duration.ofSeconds(1));
    for (int place = 0; place < 4; place++) {
      world.workers().at(place).setReachable(false);
    }
    for (int job = 0; job < 100; job++) {
      world.submit(Steps.queue(0, 2), List.of(Steps.plain(1, 5600, 680)));
      world.run(Duration.ofMillis(20));
    }
    world
        .filledWhileUnreachable()
        .forEach(
            (worker, span) ->
                assertTrue(
                    span.compareTo(LONGEST_FILLING) <= 0,
                    () -> worker + " was filled for " + span));
  }

  /** Jobs with many tasks on workers that are cut off are cancelled. */
  @Test
  void stopsAreNotRepeatedToWorkersThatDoNotAnswer() {
    Simulation world = Simulation.create(7, 4, Resources.of(64, 262_144, 0), 3, 1);
    world.run(Duration.ofSeconds(1));
    List<JobId> jobs = new ArrayList<>();
    for (int job = 0; job < 20; job++) {
      jobs.add(world.submit(Steps.queue(0, 2), List.of(Steps.plain(2, 5600, 20_000))));
    }
    world.run(Duration.ofSeconds(1));
    for (int place = 0; place < world.workers().count(); place++) {
      world.workers().at(place).setReachable(false);
    }
    jobs.forEach(world::cancel);
    world.run(Duration.ofSeconds(4));
    assertTrue(
        world.ordersInVain() <= MOST_ORDERS_FOR_FORTY_TASKS,
        () -> world.ordersInVain() + " orders in vain");
  }
}
