package org.hyssopport.engine.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which workers {@link Placer} chooses beside one that is due for a trial. */
class PlacerTests {

  private static StepDefinition step(int tasks, boolean gang, Optional<String> preferredRack) {
    return new StepDefinition(
        tasks,
        new Resources(1000, 100, 0),
        Duration.ofSeconds(1),
        List.of(),
        false,
        gang,
        false,
        Optional.empty(),
        preferredRack,
        0,
        false,
        false);
  }

  private static Candidate candidate(String id, String rack, boolean trial) {
    int mostTasks = trial ? 1 : Integer.MAX_VALUE;
    return new Candidate(
        new WorkerId(id), rack, new Resources(64_000, 262_144, 0), mostTasks, trial);
  }

  // A worker that was due for a trial was the last choice, so that an idle cell never made it.
  @ParameterizedTest
  @CsvSource({
    "2, false, , failing+sound",
    "1, false, , failing",
    "2, true, , sound+sound",
    "2, false, r1, sound+sound",
    "2, false, r2, failing+sound"
  })
  void workersThatAreDueForTrialComeFirst(
      int tasks, boolean gang, String preferredRack, String expected) {
    List<Candidate> candidates =
        List.of(candidate("sound", "r1", false), candidate("failing", "r2", true));
    List<WorkerId> chosen =
        Placer.place(step(tasks, gang, Optional.ofNullable(preferredRack)), tasks, candidates);
    assertEquals(expected, String.join("+", chosen.stream().map(WorkerId::name).toList()));
  }
}
