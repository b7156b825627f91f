package org.hyssopport.engine;

import java.time.Duration;

/** Estimates the run time of a work class from its declared run time and the observed ones. */
final class RunTimeEstimate {

  private static final double OBSERVATION_WEIGHT = 0.1;
  private static final double INITIAL_OBSERVATION_WEIGHT = 0.5;
  private static final int MINIMUM_OBSERVATIONS = 5;
  private static final double LONG_RUN_TIME_MILLIS = 500;
  private static final double UPPER_ESTIMATE_FACTOR = 1.5;

  private double meanLogMillis;
  private int observations;

  private RunTimeEstimate(double meanLogMillis) {
    this.meanLogMillis = meanLogMillis;
  }

  static RunTimeEstimate declared(Duration runTime) {
    return new RunTimeEstimate(Math.log((double) Math.max(1, runTime.toMillis())));
  }

  void observe(long runMillis) {
    double weight =
        observations < MINIMUM_OBSERVATIONS ? INITIAL_OBSERVATION_WEIGHT : OBSERVATION_WEIGHT;
    observations++;
    meanLogMillis += weight * (Math.log((double) Math.max(1, runMillis)) - meanLogMillis);
  }

  double typicalMillis() {
    return Math.exp(meanLogMillis);
  }

  /**
   * Returns a run time in milliseconds that most of the work does not exceed; 0 while there are too
   * few observations.
   */
  long upperEstimateMillis() {
    return observations < MINIMUM_OBSERVATIONS
        ? 0
        : (long) (typicalMillis() * UPPER_ESTIMATE_FACTOR);
  }

  boolean isLong() {
    return typicalMillis() > LONG_RUN_TIME_MILLIS;
  }
}
