package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.hyssopport.testkit.world.CrestLoad.Kind;
import org.hyssopport.testkit.world.CrestLoad.Profile;
import org.hyssopport.testkit.world.CrestLoad.Result;
import org.hyssopport.testkit.world.CrestLoad.Results;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays load that the room does not suffice for, and calm load, which must not be refused. */
class CrestLoadTests {

  private static final int WORKERS = 60;
  private static final int SECONDS = 30;

  private static Results play(Simulation simulation, Profile profile) {
    Results results = CrestLoad.play(simulation, profile, 1, SECONDS);
    assertEquals(List.of(), simulation.findings());
    assertEquals(List.of(), simulation.falselyRefused());
    return results;
  }

  /** Two thirds of the room with swings of half of that, and the load of the service itself. */
  @ParameterizedTest
  @CsvSource({"0.8, 0.55, 1", "1, 0.27, 2"})
  void refusesNothingThatCanBeOfUse(double scale, double swing, double burst) {
    Profile profile = new Profile(WORKERS, scale, swing, burst, burst, 1);
    Simulation simulation = CrestLoad.newSimulation(profile, 1);
    play(simulation, profile);
    assertEquals(0, simulation.refusalCount());
  }

  @Test
  void noKindOfJobStarvesAtTwiceTheRoom() {
    Profile profile = new Profile(WORKERS, 2.5, 0.27, 2, 2, 1);
    Simulation simulation = CrestLoad.newSimulation(profile, 1);
    Map<Kind, Result> byKind = play(simulation, profile).byKind();
    byKind.forEach(
        (kind, result) -> assertTrue(result.servedShare() > 0.1, () -> kind + " " + result));
  }
}
