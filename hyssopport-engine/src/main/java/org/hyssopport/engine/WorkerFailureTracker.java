package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/** Tracks the share of a worker's work that fails, and whether the worker is ejected. */
final class WorkerFailureTracker {

  private static final double SAMPLE_WEIGHT = 0.2;
  private static final int MINIMUM_OBSERVATIONS = 4;
  private static final double EJECTION_THRESHOLD = 0.5;
  private static final Duration FIRST_EJECTION = Duration.ofSeconds(5);
  private static final Duration PROBE_WINDOW = Duration.ofSeconds(10);
  private static final int MAXIMUM_DOUBLINGS = 3;

  private double failureShare;
  private int observations;
  private int ejections;
  private Optional<Instant> ejectedUntil = Optional.empty();

  private WorkerFailureTracker() {}

  static WorkerFailureTracker create() {
    return new WorkerFailureTracker();
  }

  double failureShare() {
    return failureShare;
  }

  /**
   * Records the end of a request or a task on the worker; a success ends an ejection.
   *
   * @param failure 0 for success, up to 1 for a failure that the worker is to blame for
   */
  void record(double failure) {
    observations++;
    failureShare += SAMPLE_WEIGHT * (failure - failureShare);
    if (failure == 0 && ejectedUntil.isPresent()) {
      ejectedUntil = Optional.empty();
      failureShare = 0;
      observations = 0;
      ejections = 0;
    }
  }

  boolean isOutlier(double medianShare) {
    return ejectedUntil.isEmpty()
        && observations >= MINIMUM_OBSERVATIONS
        && failureShare > EJECTION_THRESHOLD
        && failureShare > 2 * medianShare;
  }

  void eject(Instant now) {
    long factor = 1L << Math.min(ejections, MAXIMUM_DOUBLINGS);
    ejections++;
    ejectedUntil = Optional.of(now.plus(FIRST_EJECTION.multipliedBy(factor)));
  }

  boolean isEjected() {
    return ejectedUntil.isPresent();
  }

  /**
   * Returns whether the worker may get work.
   *
   * <p>After its ejection time the worker gets one probe at a time, and after the probe window any
   * work again.
   *
   * @param idle whether nothing runs on the worker, so that a probe may be sent
   */
  boolean mayGetWork(Instant now, boolean idle) {
    if (ejectedUntil.isEmpty()) {
      return true;
    }
    boolean probing = idle && !now.isBefore(ejectedUntil.get());
    boolean expired = !now.isBefore(ejectedUntil.get().plus(PROBE_WINDOW));
    return probing || expired;
  }

  /** Ejects the worker again, for longer, if work fails after its ejection time is over. */
  void extendAfterProbe(Instant now) {
    if (ejectedUntil.map(until -> !now.isBefore(until)).orElse(false)) {
      eject(now);
    }
  }
}
