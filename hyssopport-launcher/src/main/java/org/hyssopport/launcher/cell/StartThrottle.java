package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides how many starts a scheduler may have on their way while its orders are congested and no
 * other member takes over: as many as it has just shown to send in time.
 */
final class StartThrottle {

  /** Below the 250 ms up to which the queue of orders counts as in time. */
  private static final Duration INTENDED_WAIT = Duration.ofMillis(200);

  /** The orders that are sent at once, one on each thread for orders. */
  static final int LEAST_STARTS = 64;

  private static final Duration RATE_WINDOW = Duration.ofSeconds(1);

  /**
   * The limit holds after the congestion while as much is sent as during it. If less is, the load
   * has fallen; if more is, the orders can be sent faster again.
   */
  private static final double SAME_RATE_TOLERANCE = 0.25;

  private Instant windowEndsAt = Instant.MIN;
  private long sentAtWindowStart;
  private int sentInWindow;
  private Optional<Integer> limit = Optional.empty();
  private int sentWhenCongested;

  /**
   * Returns how many starts may be on their way, or empty if there is no limit.
   *
   * @param congested whether the orders are congested
   * @param ordersSent how many orders the term has sent so far
   * @param now the current time by the local monotonic clock
   */
  Optional<Integer> update(boolean congested, long ordersSent, Instant now) {
    boolean windowEnds = !now.isBefore(windowEndsAt);
    if (windowEnds) {
      sentInWindow = (int) (ordersSent - sentAtWindowStart);
      sentAtWindowStart = ordersSent;
      windowEndsAt = now.plus(RATE_WINDOW);
    }
    if (congested) {
      if (windowEnds || limit.isEmpty()) {
        sentWhenCongested = sentInWindow;
        long inTime = sentInWindow * INTENDED_WAIT.toMillis() / RATE_WINDOW.toMillis();
        limit = Optional.of((int) Math.max(LEAST_STARTS, inTime));
      }
    } else if (windowEnds
        && Math.abs(sentInWindow - sentWhenCongested) > SAME_RATE_TOLERANCE * sentWhenCongested) {
      limit = Optional.empty();
    }
    return limit;
  }
}
