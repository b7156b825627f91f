package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.policy.Resources;

/**
 * Random actions on a cell that organisations share, judged by what really runs on its workers.
 *
 * <p>20,000 actions: starts, ends, stops and starts whose answers are lost or that arrive late,
 * take-overs, lost workers, and limits that are lowered below what runs.
 */
class OrganisationLimitFuzzTests {

  private static final int ACTIONS = 200;
  private static final List<OrganisationId> IDS =
      List.of(new OrganisationId("a"), new OrganisationId("b"), new OrganisationId("c"));

  /** Every job of the test fits in it, so that all end once it is in force. */
  private static final ResourceLimit SUFFICIENT = new ResourceLimit(150_000, 30_000, 0);

  @Property(
      tries = 100,
      seed = "20261207",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void noStartExceedsTheLimitOfItsOrganisation(@ForAll long seed) {
    Random random = new Random(seed);
    Simulation cell = Simulation.create(seed, 8, Resources.of(64, 262_144, 0), 4, 0.8);
    cell.orderFaults().setLateOrdersOutliveRestart(false);
    cell.configure(organisations(IDS, SUFFICIENT));
    List<JobId> jobs = new ArrayList<>();
    for (int action = 0; action < ACTIONS; action++) {
      cell.advance(Duration.ofMillis(random.nextInt(150)));
      act(cell, random, jobs);
    }
    clearFaults(cell);
    cell.configure(organisations(IDS, SUFFICIENT));
    for (int round = 0; round < 60 && (round < 5 || !cell.unfinished().isEmpty()); round++) {
      cell.advance(Duration.ofSeconds(1));
      cell.requestJobStates();
    }
    assertEquals(List.of(), cell.findings());
    assertEquals(List.of(), cell.unfinished());
    IDS.forEach(
        id -> assertEquals(Resources.NONE, cell.workers().runChecker().limits().running(id)));
  }

  private static List<Organisation> organisations(List<OrganisationId> ids, ResourceLimit limit) {
    return ids.stream().map(id -> new Organisation(id, 1, limit, Set.of())).toList();
  }

  private static void act(Simulation cell, Random random, List<JobId> jobs) {
    SimulatedWorker worker = cell.workers().atIndex(random.nextInt(cell.workers().count()));
    switch (random.nextInt(20)) {
      case 0 -> worker.setReachable(false);
      case 1, 2 -> worker.setReachable(true);
      case 3 -> {
        worker.crash();
        worker.restart();
      }
      case 4 -> cell.killScheduler();
      case 5 -> cell.electScheduler();
      case 6 -> cell.journal().setDown(random.nextBoolean());
      case 7 -> cell.orderFaults().setLateShare(random.nextDouble() * 0.3);
      case 8 -> cell.orderFaults().setLostAnswerShare(random.nextDouble() * 0.3);
      case 9, 10 -> cell.configure(randomOrganisations(random));
      case 11, 12, 13 -> {
        if (!jobs.isEmpty()) {
          cell.cancel(jobs.get(random.nextInt(jobs.size())));
        }
      }
      default -> jobs.add(submit(cell, random));
    }
  }

  /** Returns some of the organisations, with limits down to a fraction of what may run. */
  private static List<Organisation> randomOrganisations(Random random) {
    List<Organisation> organisations = new ArrayList<>();
    for (OrganisationId id : IDS) {
      if (random.nextInt(5) > 0) {
        long processors = 1000L + random.nextInt(150_000);
        long memory = random.nextBoolean() ? 0 : 1000L + random.nextInt(30_000);
        organisations.addAll(organisations(List.of(id), new ResourceLimit(processors, memory, 0)));
      }
    }
    return organisations;
  }

  private static JobId submit(Simulation cell, Random random) {
    Optional<OrganisationId> owner =
        Optional.of(IDS.get(random.nextInt(IDS.size()))).filter(id -> random.nextInt(10) > 0);
    int millis = 300 + random.nextInt(4000);
    List<StepDefinition> steps =
        random.nextInt(3) == 0
            ? List.of(Steps.gang(1 + random.nextInt(6), 18_000, millis))
            : List.of(
                Steps.plain(1 + random.nextInt(12), 6000, millis),
                Steps.dependent(0, 2, 3000, 500));
    return cell.submit(
        random.nextBoolean() ? Steps.queue(1, 50) : Steps.advisedQueue(0, 15), steps, owner);
  }

  private static void clearFaults(Simulation cell) {
    cell.journal().setDown(false);
    cell.orderFaults().setLateShare(0);
    cell.orderFaults().setLostAnswerShare(0);
    for (int index = 0; index < cell.workers().count(); index++) {
      cell.workers().atIndex(index).setReachable(true);
    }
  }
}
