package org.hyssopport.testkit.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** What must always hold, under any steps. */
class CellFuzzTests {

  private static final int STEPS = 200;
  private static final int LARGEST_NUMBER = 9999;

  @Property(tries = 20, seed = "20261204")
  void whatMustAlwaysHoldHoldsUnderAnySteps(@ForAll("chains") ActionChain<FuzzRun> chain) {
    FuzzRun end = chain.run();
    assertEquals(List.of(), end.finish(), () -> chain.transformations().toString());
  }

  @Provide
  Arbitrary<ActionChain<FuzzRun>> chains() {
    return Arbitraries.longs().flatMap(CellFuzzTests::chainsFor);
  }

  private static Arbitrary<ActionChain<FuzzRun>> chainsFor(long seed) {
    ActionChainArbitrary<FuzzRun> chains = ActionChain.startWith(() -> FuzzRun.create(seed));
    for (FuzzStep step : FuzzStep.values()) {
      chains = chains.withAction(step.weight(), actionOf(step));
    }
    return chains.withMaxTransformations(STEPS);
  }

  private static Action.Independent<FuzzRun> actionOf(FuzzStep step) {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, LARGEST_NUMBER);
    return () ->
        Combinators.combine(Arbitraries.just(step), numbers)
            .as(
                (each, number) ->
                    Transformer.mutate(each + "(" + number + ")", run -> each.apply(run, number)));
  }
}
