package org.hyssopport.testkit.cell;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.state.ActionChain;

/** The fourth quarter of the stateful fuzzing, run beside the others. */
class CellFuzzFourthTests extends CellFuzz {

  @Property(seed = "20261207")
  void invariantsHold(@ForAll("chains") ActionChain<FuzzRun> chain) {
    expectNoFindings(chain);
  }
}
