package org.hyssopport.testkit.cell;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.state.ActionChain;

/** The second quarter of the stateful fuzzing; the quarters run in parallel processes. */
class CellFuzzSecondTests extends CellFuzz {

  @Property(seed = "20261205")
  void invariantsHold(@ForAll("chains") ActionChain<FuzzRun> chain) {
    expectNoFindings(chain);
  }
}
