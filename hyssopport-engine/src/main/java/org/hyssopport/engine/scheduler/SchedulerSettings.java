package org.hyssopport.engine.scheduler;

import java.time.Duration;

/**
 * The time limits of the scheduler.
 *
 * @param lease how long the runs of a worker continue without contact with the scheduler
 * @param longestLease the longest lease that workers accept; they cut a longer one to it
 * @param storeOutageTolerance how long leases are still granted after the store last confirmed that
 *     no newer term has begun
 * @param gangWindow how long the started tasks of a gang wait for the others to start
 * @param retention how long the state of an ended job is kept
 * @since 0.2
 */
public record SchedulerSettings(
    Duration lease,
    Duration longestLease,
    Duration storeOutageTolerance,
    Duration gangWindow,
    Duration retention) {

  /**
   * Outlasts a usual network cut of 5.5 s. The tasks of a lost worker wait for the same time before
   * they are started elsewhere.
   */
  private static final Duration LEASE = Duration.ofSeconds(6);

  /**
   * An outage of the store usually lasts 6 s at most. The lease time that is left when it begins
   * covers about 3 s of it; extensions cover the rest.
   */
  private static final Duration STORE_OUTAGE_TOLERANCE = Duration.ofSeconds(3);

  /** Returns settings whose lease is no longer than the longest one that workers accept. */
  public static SchedulerSettings of(
      Duration longestLease, Duration gangWindow, Duration retention) {
    Duration lease = LEASE.compareTo(longestLease) < 0 ? LEASE : longestLease;
    return new SchedulerSettings(
        lease, longestLease, STORE_OUTAGE_TOLERANCE, gangWindow, retention);
  }

  /**
   * Returns how long a lease that an earlier scheduler granted may still last when this one takes
   * over, if the worker's clock runs at 0.98 of the local rate, the slowest that the platform
   * allows.
   */
  Duration longestInheritedLease() {
    return onSlowestClock(lease.plus(storeOutageTolerance));
  }

  /**
   * Returns how long a later incarnation of a worker may hold a lease that it was just given by the
   * clock of an earlier one: it cuts the lease to the longest that it accepts.
   */
  Duration longestLeaseOfLaterIncarnation() {
    return onSlowestClock(longestLease);
  }

  /** Returns the same for a lease that an earlier scheduler granted when this one takes over. */
  Duration longestInheritedLeaseOfLaterIncarnation() {
    return onSlowestClock(longestLease.plus(storeOutageTolerance));
  }

  private static Duration onSlowestClock(Duration span) {
    double millis = span.toMillis() / 0.98;
    return Duration.ofMillis((long) millis).plus(INHERITANCE_MARGIN);
  }

  /**
   * Covers the delivery of an order that the earlier scheduler sent just before it could no longer
   * grant leases.
   */
  private static final Duration INHERITANCE_MARGIN = Duration.ofMillis(300);
}
