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
  private static final Duration MAXIMUM_PLACEMENT_SPAN = Duration.ofMillis(200);

  /** Forty first stops, and one more each for those that were sent before silence was noticed. */
  private static final int MAXIMUM_ORDERS_FOR_FORTY_TASKS = 80;

  @ParameterizedTest
  @ValueSource(doubles = {1, 1.5})
  void noGuaranteeIsViolatedAtPeakLoad(double scale) {
    Simulation simulation = PeakLoad.Size.TODAY.newSimulation(7);
    PeakLoad.play(simulation, PeakLoad.Size.TODAY, 11, scale, 24);
    assertEquals(List.of(), simulation.findings());
  }

  /** A third of the workers is cut off while short jobs arrive every 20 ms. */
  @Test
  void workersThatWereJustCutOffSoonGetNothingNew() {
    Simulation simulation = Simulation.create(7, 12, Resources.of(64, 262_144, 0), 3, 1);
    simulation.advance(Duration.ofSeconds(1));
    for (int index = 0; index < 4; index++) {
      simulation.workers().atIndex(index).setReachable(false);
    }
    for (int job = 0; job < 100; job++) {
      simulation.submit(Steps.queue(0, 2), List.of(Steps.plain(1, 5600, 680)));
      simulation.advance(Duration.ofMillis(20));
    }
    simulation
        .placementSpansWhileUnreachable()
        .forEach(
            (worker, span) ->
                assertTrue(
                    span.compareTo(MAXIMUM_PLACEMENT_SPAN) <= 0,
                    () -> worker + " was filled for " + span));
  }

  /** Jobs with many tasks on workers that are cut off are cancelled. */
  @Test
  void stopsAreNotRepeatedToWorkersThatDoNotAnswer() {
    Simulation simulation = Simulation.create(7, 4, Resources.of(64, 262_144, 0), 3, 1);
    simulation.advance(Duration.ofSeconds(1));
    List<JobId> jobs = new ArrayList<>();
    for (int job = 0; job < 20; job++) {
      jobs.add(simulation.submit(Steps.queue(0, 2), List.of(Steps.plain(2, 5600, 20_000))));
    }
    simulation.advance(Duration.ofSeconds(1));
    for (int index = 0; index < simulation.workers().count(); index++) {
      simulation.workers().atIndex(index).setReachable(false);
    }
    jobs.forEach(simulation::cancel);
    simulation.advance(Duration.ofSeconds(4));
    assertTrue(
        simulation.undeliverableOrders() <= MAXIMUM_ORDERS_FOR_FORTY_TASKS,
        () -> simulation.undeliverableOrders() + " orders in vain");
  }
}
