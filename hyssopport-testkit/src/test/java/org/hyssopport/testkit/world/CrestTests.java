package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The scheduler under loads past its capacity. */
class CrestTests {

  @ParameterizedTest
  @ValueSource(doubles = {1, 1.5})
  void noPromiseBreaksAtTheCrest(double scale) {
    World world = World.create(7, 33, Resources.of(64, 262_144, 0), 9, 0.45);
    CrestLoad.play(world, 11, scale, 24);
    assertEquals(List.of(), world.findings());
  }
}
