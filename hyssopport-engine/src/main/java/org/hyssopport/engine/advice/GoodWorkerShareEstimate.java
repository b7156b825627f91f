package org.hyssopport.engine.advice;

/**
 * Estimates which share of the workers named in calls of one queue is good.
 *
 * @since 0.2
 */
public final class GoodWorkerShareEstimate {

  /** What is expected before anything is known; between the rarest and the commonest kind. */
  private static final double EXPECTED = 0.4;

  /** How many named workers the expectation counts for; a call or two outweigh it. */
  private static final double EXPECTATION_WEIGHT = 20;

  private double named = EXPECTATION_WEIGHT;
  private double good = EXPECTATION_WEIGHT * EXPECTED;

  private GoodWorkerShareEstimate() {}

  /** Returns an estimate without answers. */
  public static GoodWorkerShareEstimate unknown() {
    return new GoodWorkerShareEstimate();
  }

  /** Takes in how many of the workers that were asked about for the first time are good. */
  public void learn(int newlyNamed, int newlyGood) {
    named += newlyNamed;
    good += newlyGood;
  }

  /** Returns the expected share. */
  public double expected() {
    return good / named;
  }
}
