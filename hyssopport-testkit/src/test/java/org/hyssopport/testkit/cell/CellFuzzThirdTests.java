package org.hyssopport.testkit.cell;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.state.ActionChain;

/** The third quarter of the stateful fuzzing; the quarters run in parallel processes. */
class CellFuzzThirdTests extends CellFuzz {

  @Property(seed = "20261206")
  void invariantsHold(@ForAll("chains") ActionChain<FuzzRun> chain) {
    expectNoFindings(chain);
  }
}
