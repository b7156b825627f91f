package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Jobs that each take the only worker for 2 s, and are of use for 12 s: three times their run time
 * and 2 s more.
 */
class RefusalTests {

  private static final OrganisationId LIMITED = new OrganisationId("limited");
  private static final OrganisationId OTHER = new OrganisationId("other");
  private static final Duration CALLER_TIME = Duration.ofSeconds(3);

  private static final QueuePolicy QUEUE =
      new QueuePolicy(
          "plans", SimulatedWorkers.SERVICE, 0, 4, 1, Duration.ofSeconds(2), Optional.empty());

  private static final StepDefinition WHOLE_WORKER = Steps.plain(1, 16_000, 2000);

  private final Simulation simulation = Simulation.create(7, 1, Resources.of(16, 32_768, 0), 2, 1);

  @BeforeEach
  void configure() {
    Organisation limited = new Organisation(LIMITED, 1, new ResourceLimit(4000, 0, 0), Set.of());
    Organisation other = new Organisation(OTHER, 1, ResourceLimit.NONE, Set.of());
    simulation.configure(List.of(limited, other));
  }

  private JobId submit(OrganisationId organisation, int attempts) {
    return simulation.submitWithin(
        QUEUE, List.of(WHOLE_WORKER), organisation, CALLER_TIME, attempts);
  }

  /** Lets jobs wait until the scheduler has led for long enough to refuse others. */
  private void waitWithBacklog(int jobs) {
    simulation.advance(Duration.ofMillis(2500));
    for (int job = 0; job < jobs; job++) {
      submit(OTHER, 1);
    }
    simulation.advance(Duration.ofMillis(600));
  }

  @Test
  void jobsThatWouldEndTooLateAreRefusedAndNeverRun() {
    waitWithBacklog(8);
    JobId refused = submit(OTHER, 1);
    simulation.advance(Duration.ofSeconds(40));
    simulation.requestJobStates();
    assertEquals(List.of(), simulation.falselyRefused());
    assertEquals(true, simulation.isRefused(refused));
    assertEquals(List.of(), simulation.incomplete());
    assertEquals(List.of(), simulation.findings());
  }

  @Test
  void lateJobsThatAreOfUseAreAccepted() {
    waitWithBacklog(5);
    JobId late = submit(OTHER, 1);
    assertEquals(false, simulation.isRefused(late));
  }

  @Test
  void nothingIsRefusedWhileTheTermIsNew() {
    simulation.advance(Duration.ofMillis(1500));
    for (int job = 0; job < 20; job++) {
      submit(OTHER, 1);
    }
    simulation.advance(Duration.ofSeconds(1));
    submit(OTHER, 1);
    assertEquals(0, simulation.refusalCount());
  }

  @Test
  void onlyTheOrganisationAtItsLimitIsRefused() {
    waitWithBacklog(1);
    submit(LIMITED, 1);
    submit(LIMITED, 1);
    simulation.advance(Duration.ofMillis(50));
    JobId beyondLimit = submit(LIMITED, 1);
    JobId other = submit(OTHER, 1);
    assertEquals(true, simulation.isRefused(beyondLimit));
    assertEquals(false, simulation.isRefused(other));
  }

  @Test
  void returningCallersAreAcceptedOnceOthersHaveGoneAway() {
    simulation.advance(Duration.ofMillis(2500));
    List<JobId> others = IntStream.range(0, 8).mapToObj(job -> submit(OTHER, 1)).toList();
    simulation.advance(Duration.ofMillis(600));
    JobId returning = submit(OTHER, 5);
    others.subList(2, 8).forEach(simulation::cancel);
    simulation.advance(Duration.ofSeconds(4));
    assertEquals(false, simulation.isRefused(returning));
    assertEquals(true, simulation.refusalCount() > 0);
  }
}
