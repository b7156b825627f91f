package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The scheduler under loads past its capacity. */
class CrestTests {

  @ParameterizedTest
  @ValueSource(doubles = {1, 1.3})
  void noPromiseBreaksAtTheCrest(double scale) {
    World world = World.create(7, 33, Resources.of(64, 262_144, 0), 9, 0.45);
    Map<String, Double> earned = CrestLoad.play(world, 11, scale, 34);
    System.out.println("TRIAL " + scale + " " + earned);
    assertEquals(List.of(), world.findings());
  }
}
