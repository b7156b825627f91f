package org.hyssopport.engine.scheduler;

import java.time.Duration;

/**
 * The scheduler's time bounds.
 *
 * @param lease how long a worker runs on without hearing from the scheduler
 * @param storeOutageTolerance how long leases are extended while the store does not answer
 * @param gangWindow how long the members of a gang wait for each other
 * @param retention how long an ended job's state is shown
 * @since 0.2
 */
public record SchedulerSettings(
    Duration lease, Duration storeOutageTolerance, Duration gangWindow, Duration retention) {

  /** Outlasts a cut of the usual length, 5.5 s; a lost worker's tasks wait as long. */
  private static final Duration LEASE = Duration.ofSeconds(6);

  /** The longest usual outage of the store, 6 s, less the lease that is left at its start. */
  private static final Duration STORE_OUTAGE_TOLERANCE = Duration.ofSeconds(3);

  /** Returns settings with the platform's bounds. */
  public static SchedulerSettings of(
      Duration longestLease, Duration gangWindow, Duration retention) {
    Duration lease = LEASE.compareTo(longestLease) < 0 ? LEASE : longestLease;
    return new SchedulerSettings(lease, STORE_OUTAGE_TOLERANCE, gangWindow, retention);
  }

  /** Returns how long a lease that another scheduler granted may last at a take-over. */
  Duration longestInheritedLease() {
    double millis = (lease.toMillis() + storeOutageTolerance.toMillis()) / 0.98;
    return Duration.ofMillis((long) millis).plus(INHERITANCE_MARGIN);
  }

  /** Covers an order that the earlier scheduler sent just before its time was over. */
  private static final Duration INHERITANCE_MARGIN = Duration.ofMillis(300);
}
