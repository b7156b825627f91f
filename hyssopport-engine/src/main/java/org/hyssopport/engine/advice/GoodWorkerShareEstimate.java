package org.hyssopport.engine.advice;

/**
 * Estimates which share of the workers named in calls of one queue is good.
 *
 * @since 0.2
 */
public final class GoodWorkerShareEstimate {

  /** What is expected before anything is known; between the rarest and the commonest kind. */
  private static final double INITIAL_SHARE = 0.4;

  /** How many named workers the expectation counts for; a call or two outweigh it. */
  private static final double INITIAL_WEIGHT = 20;

  private double askedCount = INITIAL_WEIGHT;
  private double goodCount = INITIAL_WEIGHT * INITIAL_SHARE;

  private GoodWorkerShareEstimate() {}

  /** Returns an estimate without answers. */
  public static GoodWorkerShareEstimate initial() {
    return new GoodWorkerShareEstimate();
  }

  /** Takes in how many of the workers that were asked about for the first time are good. */
  public void recordAnswer(int newlyAsked, int newlyGood) {
    askedCount += newlyAsked;
    goodCount += newlyGood;
  }

  /** Returns the expected share. */
  public double expectedShare() {
    return goodCount / askedCount;
  }
}
