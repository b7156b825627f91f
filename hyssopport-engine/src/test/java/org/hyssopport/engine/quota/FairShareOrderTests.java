package org.hyssopport.engine.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationDirectory;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.engine.placement.StepOrder;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.RunPhase;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays a full cell on which one organisation sends many times its usual load. */
class FairShareOrderTests {

  private static final Instant NOW = Instant.parse("2026-12-07T06:00:00Z");
  private static final Resources ROOM = new Resources(100, 0, 0);

  private final UsageLedger usage = UsageLedger.empty();
  private final OrganisationLimits limits = OrganisationLimits.withoutConfiguration(usage);
  private final FairShareOrder order = FairShareOrder.of(limits, usage);
  private final List<Step> ready = new ArrayList<>();
  private final Deque<TrackedRun> running = new ArrayDeque<>();
  private final Map<String, Integer> startsByName = new HashMap<>();
  private int lastNumber;

  private void configure(Map<String, Long> weights) {
    List<Organisation> organisations = new ArrayList<>();
    weights.forEach(
        (name, weight) ->
            organisations.add(
                new Organisation(new OrganisationId(name), weight, ResourceLimit.NONE, Set.of())));
    limits.applyConfiguration(
        new CellConfiguration(
            1, List.of(), 0, Optional.of(OrganisationDirectory.of(organisations))));
  }

  private Step step(String name, int tasks, int allowedSeconds, Instant acceptedAt) {
    StepDefinition definition =
        new StepDefinition(
            tasks,
            new Resources(1, 0, 0),
            Duration.ofSeconds(1),
            List.of(),
            false,
            false,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            false);
    lastNumber++;
    JobDefinition job =
        new JobDefinition(
            new JobId(String.format("%016x", lastNumber)),
            new QueuePolicy(
                "q", "s", 0, 1, 1, Duration.ofSeconds(allowedSeconds), Optional.empty()),
            "",
            List.of(definition),
            0,
            Instant.EPOCH,
            Duration.ZERO,
            acceptedAt,
            Optional.of(name).filter(each -> !each.isEmpty()).map(OrganisationId::new));
    return Job.accepted(job, acceptedAt).steps().get(0);
  }

  /** Places single tasks in the order of one pass while there is room; each runs for a round. */
  private void playRound(int round) {
    while (!running.isEmpty() && running.peek().placedAt().isBefore(NOW.plusSeconds(round))) {
      usage.onRunRemoved(running.remove());
    }
    ready.sort(StepOrder.at(NOW));
    for (Step step : order.arrange(List.copyOf(ready), () -> ROOM, NOW)) {
      if (running.size() == ROOM.milliProcessors()) {
        break;
      }
      RunId run = new RunId(step.task(0).id(), 1);
      TrackedRun started = TrackedRun.of(run, step, RunPhase.RUNNING, NOW.plusSeconds(round));
      running.add(started);
      usage.onRunAdded(started);
      ready.remove(step);
      String name = step.job().definition().organisation().map(OrganisationId::name).orElse("");
      startsByName.merge(name, 1, Integer::sum);
    }
  }

  /** One organisation sends its usual load, the other far more than the room, more urgently. */
  @ParameterizedTest
  @CsvSource({"1, 1, 4, 40", "3, 1, 2, 20", "1, 3, 6, 60"})
  void organisationWithinItsShareLosesNothingToAnother(
      long hotWeight, long weight, int usualEachRound, int expectedStarts) {
    configure(Map.of("hot", hotWeight, "usual", weight));
    for (int round = 0; round < 10; round++) {
      for (int job = 0; job < 300; job++) {
        ready.add(step("hot", 1, 100, NOW));
      }
      for (int job = 0; job < usualEachRound; job++) {
        ready.add(step("usual", 1, 200, NOW));
      }
      playRound(round);
    }
    assertEquals(expectedStarts, startsByName.get("usual"));
  }

  @Test
  void unusedSharesAreLentAndTakenBack() {
    configure(Map.of("a", 1L, "b", 1L));
    for (int job = 0; job < 1000; job++) {
      ready.add(step("a", 1, 100, NOW));
    }
    playRound(0);
    assertEquals(100, startsByName.get("a"));
    for (int job = 0; job < 1000; job++) {
      ready.add(step("b", 1, 200, NOW));
    }
    playRound(10);
    // The shares of USABLE_ROOM are 45 each; the rest goes to the least exceeded share first.
    assertTrue(startsByName.get("b") >= 45, startsByName::toString);
    assertTrue(startsByName.get("a") >= 100 + 45, startsByName::toString);
  }

  @Test
  void noOrganisationStarvesWhateverItsWeightOrTheSizeOfItsSteps() {
    configure(Map.of("hot", 1000L, "small", 1L));
    for (int job = 0; job < 200; job++) {
      ready.add(step("hot", 1, 100, NOW));
    }
    Step large = step("small", 80, 200, NOW);
    ready.add(large);
    ready.sort(StepOrder.at(NOW));
    List<Step> arranged = order.arrange(ready, () -> ROOM, NOW);
    assertTrue(arranged.indexOf(large) < 100, () -> "placed as " + arranged.indexOf(large));
  }

  @ParameterizedTest
  @CsvSource({"false, 1000", "true, 80"})
  void urgencyAloneDecidesWithoutOrganisationsOrIfAllFits(boolean organisations, int jobs) {
    if (organisations) {
      configure(Map.of("a", 1L, "b", 1L));
    }
    for (int job = 0; job < jobs; job++) {
      ready.add(step(job % 5 == 0 ? "a" : organisations ? "b" : "", 1, 10 + job % 17, NOW));
    }
    ready.sort(StepOrder.at(NOW));
    assertEquals(ready, order.arrange(ready, () -> ROOM, NOW));
  }

  @Test
  void uselessResultsComeLastAlsoWithinShares() {
    configure(Map.of("hot", 1L, "usual", 1L));
    Step useless = step("usual", 1, 1, NOW.minusSeconds(60));
    ready.add(useless);
    for (int job = 0; job < 200; job++) {
      ready.add(step("hot", 1, 100, NOW));
    }
    ready.sort(StepOrder.at(NOW));
    List<Step> arranged = order.arrange(ready, () -> ROOM, NOW);
    assertEquals(useless, arranged.get(arranged.size() - 1));
  }
}
