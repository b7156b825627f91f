package org.hyssopport.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationDirectory;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Random starts, ends, take-overs and configurations, against sums over plain lists. */
class OrganisationLimitsTests {

  private static final Instant NOW = Instant.parse("2026-12-07T06:00:00Z");
  private static final OrganisationId ID = new OrganisationId("a");

  private final List<TrackedRun> running = new ArrayList<>();
  private final Map<OrganisationId, ResourceLimit> knownLimits = new HashMap<>();
  private boolean configured;
  private long version;
  private UsageLedger ledger = UsageLedger.empty();
  private OrganisationLimits limits = OrganisationLimits.withoutConfiguration(ledger);

  @Property(
      tries = 200,
      seed = "20261207",
      edgeCases = EdgeCasesMode.NONE,
      shrinking = ShrinkingMode.OFF)
  void limitsAgreeWithSumsOverAllRuns(@ForAll long seed) {
    Random random = new Random(seed);
    running.clear();
    takeOver();
    for (int action = 0; action < 500; action++) {
      act(random, action);
      assertEquals(UsageLedger.recount(running), ledger);
      Job job = randomJob(random, action);
      StepDefinition step = job.definition().steps().get(0);
      assertEquals(
          expectedTasks(job.definition(), step),
          limits.permittedTasks(job.definition(), step, step.tasks()),
          () -> step + " beside " + ledger + " within " + knownLimits);
    }
  }

  private void act(Random random, int number) {
    switch (random.nextInt(12)) {
      case 0 -> takeOver();
      case 1, 2 -> configure(random);
      case 3 -> add(TrackedRun.ofUnknownStep(new RunId(taskOf(number), 1), demand(random), NOW));
      case 4, 5, 6 -> {
        for (int ends = random.nextInt(6); ends > 0 && !running.isEmpty(); ends--) {
          ledger.onRunRemoved(running.remove(random.nextInt(running.size())));
        }
      }
      default -> start(randomJob(random, number));
    }
  }

  /** Starts what is permitted, as a placement pass does. */
  private void start(Job job) {
    Step step = job.steps().get(0);
    int permitted = limits.permittedTasks(job.definition(), step.definition(), step.tasks().size());
    for (int index = 0; index < permitted; index++) {
      RunId run = new RunId(step.task(index).id(), 1);
      add(TrackedRun.of(run, step, RunPhase.STORING, NOW));
    }
  }

  private void add(TrackedRun run) {
    running.add(run);
    ledger.onRunAdded(run);
  }

  /** The next scheduler knows the runs, but neither the configuration nor earlier limits. */
  private void takeOver() {
    ledger = UsageLedger.recount(running);
    limits = OrganisationLimits.withoutConfiguration(ledger);
    configured = false;
    knownLimits.clear();
  }

  private void configure(Random random) {
    List<Organisation> organisations = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      if (random.nextInt(4) > 0) {
        ResourceLimit limit =
            new ResourceLimit(random.nextInt(60), random.nextInt(60), random.nextInt(4));
        organisations.add(new Organisation(new OrganisationId(name), 1, limit, Set.of()));
        knownLimits.put(new OrganisationId(name), limit);
      }
    }
    configured = true;
    limits.applyConfiguration(configuration(organisations));
  }

  private CellConfiguration configuration(List<Organisation> organisations) {
    version++;
    return new CellConfiguration(
        version, List.of(), 0, Optional.of(OrganisationDirectory.of(organisations)));
  }

  private int expectedTasks(JobDefinition job, StepDefinition step) {
    if (job.organisation().isEmpty()) {
      return step.tasks();
    }
    OrganisationId organisation = job.organisation().get();
    Resources used = Resources.NONE;
    for (TrackedRun run : running) {
      Optional<OrganisationId> owner =
          run.step().map(of -> of.job().definition().organisation()).orElse(Optional.of(ID));
      boolean counts = run.step().isEmpty() || owner.filter(organisation::equals).isPresent();
      used = counts ? used.plus(run.demand()) : used;
    }
    ResourceLimit limit = knownLimits.get(organisation);
    int tasks = 0;
    while (configured && limit != null && tasks < step.tasks()) {
      if (!limit.permits(used.plus(step.demand().times(tasks + 1L)))) {
        break;
      }
      tasks++;
    }
    if (configured && limit == null && used.equals(Resources.NONE)) {
      tasks = step.gang() ? step.tasks() : 1;
    }
    return step.gang() && tasks < step.tasks() ? 0 : tasks;
  }

  private static TaskId taskOf(int number) {
    return job(number, Optional.empty(), 1, Resources.NONE, false).steps().get(0).task(0).id();
  }

  private static Resources demand(Random random) {
    return new Resources(1 + random.nextInt(9), 1 + random.nextInt(9), random.nextInt(2));
  }

  private static Job randomJob(Random random, int number) {
    String owner = List.of("a", "b", "c", "").get(random.nextInt(4));
    return job(
        number,
        Optional.of(owner).filter(name -> !name.isEmpty()).map(OrganisationId::new),
        1 + random.nextInt(6),
        demand(random),
        random.nextBoolean());
  }

  private static Job job(
      int number,
      Optional<OrganisationId> organisation,
      int tasks,
      Resources demand,
      boolean gang) {
    StepDefinition step =
        new StepDefinition(
            tasks,
            demand,
            Duration.ofSeconds(1),
            List.of(),
            false,
            gang,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            false);
    JobDefinition definition =
        new JobDefinition(
            new JobId(String.format("%016x", number)),
            new QueuePolicy("q", "s", 0, 1, 1, Duration.ZERO, Optional.empty()),
            "",
            List.of(step),
            0,
            Instant.EPOCH,
            Duration.ZERO,
            NOW,
            organisation);
    return Job.accepted(definition, NOW);
  }

  @ParameterizedTest
  @CsvSource({
    "1, 10, false, false",
    "1, 11, false, true",
    "5, 10, false, false",
    "2, 5, true, false",
    "2, 6, true, true"
  })
  void jobsWhoseTaskOrGangExceedsTheLimitAreFound(
      int tasks, int processors, boolean gang, boolean exceeds) {
    limits.applyConfiguration(
        configuration(List.of(new Organisation(ID, 1, new ResourceLimit(10, 0, 0), Set.of()))));
    Job job = job(1, Optional.of(ID), tasks, new Resources(processors, 1, 0), gang);
    assertEquals(exceeds, limits.exceededByAnyStep(job.definition()).isPresent());
  }
}
