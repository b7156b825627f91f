package org.hyssopport.testkit.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/**
 * Stateful fuzzing: plays random chains of steps on a simulated cell and checks that no guarantee
 * is violated.
 *
 * <p>The number of chains of each subclass is jqwik's {@code jqwik.tries.default}. The system
 * property {@code fuzz.variant}, for long runs, varies the chains that the fixed seeds give.
 */
abstract class CellFuzz {

  private static final int MAXIMUM_STEPS = 200;
  private static final int LARGEST_NUMBER = 9999;
  private static final int VARIANT_STRIDE = 7919;
  private static final int VARIANT = Integer.getInteger("fuzz.variant", 0);

  /** Plays a chain of steps, ends every fault and asserts that there are no findings. */
  static void expectNoFindings(ActionChain<FuzzRun> chain) {
    List<String> findings = chain.run().finish();
    assertEquals(List.of(), findings, () -> findings + " after " + chain.transformations());
  }

  @Provide
  Arbitrary<ActionChain<FuzzRun>> chains() {
    return Arbitraries.longs().flatMap(CellFuzz::chainsFor);
  }

  private static Arbitrary<ActionChain<FuzzRun>> chainsFor(long seed) {
    ActionChainArbitrary<FuzzRun> chains =
        ActionChain.startWith(() -> FuzzRun.create(seed + VARIANT));
    for (FuzzStep step : FuzzStep.values()) {
      chains = chains.withAction(step.weight(), actionOf(step));
    }
    return chains.withMaxTransformations(MAXIMUM_STEPS);
  }

  private static Action.Independent<FuzzRun> actionOf(FuzzStep step) {
    Arbitrary<Integer> numbers =
        Arbitraries.integers().between(0, LARGEST_NUMBER).withDistribution(uniform());
    return () ->
        Combinators.combine(Arbitraries.just(step), numbers)
            .as(
                (chosen, number) -> {
                  int varied = (number + VARIANT * VARIANT_STRIDE) % (LARGEST_NUMBER + 1);
                  return Transformer.mutate(
                      chosen + "(" + varied + ")", run -> chosen.apply(run, varied));
                });
  }

  private static RandomDistribution uniform() {
    return RandomDistribution.uniform();
  }
}
