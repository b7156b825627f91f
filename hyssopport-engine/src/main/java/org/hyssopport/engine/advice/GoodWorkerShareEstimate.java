package org.hyssopport.engine.advice;

/**
 * Estimates the share of good workers among those that the calls of one queue ask about.
 *
 * <p>A worker is good for a step if the advice service allows the step's tasks to run on it.
 *
 * @since 0.2
 */
public final class GoodWorkerShareEstimate {

  /**
   * The share of workers that the advice service calls good differs by kind of job; this value lies
   * between that of the kind with the fewest good workers and that of the kind with the most.
   */
  private static final double INITIAL_SHARE = 0.4;

  /** The number of workers that the initial share counts as; one or two calls outweigh it. */
  private static final double INITIAL_WEIGHT = 20;

  private double askedCount = INITIAL_WEIGHT;
  private double goodCount = INITIAL_WEIGHT * INITIAL_SHARE;

  private GoodWorkerShareEstimate() {}

  /** Returns an estimate before the first answer. */
  public static GoodWorkerShareEstimate initial() {
    return new GoodWorkerShareEstimate();
  }

  /**
   * Updates the estimate by an answer.
   *
   * @param newlyAsked the number of workers in the call that were asked about for the first time
   * @param newlyGood how many of these are good
   */
  public void recordAnswer(int newlyAsked, int newlyGood) {
    askedCount += newlyAsked;
    goodCount += newlyGood;
  }

  /** Returns the expected share, from 0 to 1. */
  public double expectedShare() {
    return goodCount / askedCount;
  }
}
