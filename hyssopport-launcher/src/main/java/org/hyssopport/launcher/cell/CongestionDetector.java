package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/**
 * Decides from the queues of a scheduler whether it can't keep up with the load of its cell.
 *
 * <p>Optimised for a scheduler whose link narrows or whose processor slows down while it leads: its
 * heartbeats still arrive in time, and what it orders arrives too late.
 */
final class CongestionDetector {

  /**
   * How long a queue must be late before that counts: longer than a hand-over takes, which would
   * cost more than a shorter delay.
   */
  static final Duration PERSISTENCE = Duration.ofSeconds(2);

  /** A queue of a scheduler. */
  enum Backlog {
    /**
     * Orders that have not been sent. Tickets are valid for 1.5 s, of which storing and sending an
     * order get a third each.
     */
    ORDERS(Duration.ofMillis(500), true),
    /** Events that have not been handled. The shortest objective of a job is some 400 ms. */
    EVENTS(Duration.ofMillis(500), true),
    /**
     * Batches that have not been appended to the journal. A slow store is as slow for any other
     * scheduler, which would first have to read the journal from it.
     */
    APPENDS(Duration.ofMillis(700), false);

    private final Duration limit;
    private final boolean endedByHandOver;

    Backlog(Duration limit, boolean endedByHandOver) {
      this.limit = limit;
      this.endedByHandOver = endedByHandOver;
    }

    /** Returns whether another member of the same rank might not have it. */
    boolean isEndedByHandOver() {
      return endedByHandOver;
    }
  }

  /** When each queue that is late will have been late for long enough. */
  private final Map<Backlog, Instant> congestedFrom = new EnumMap<>(Backlog.class);

  /**
   * Records the state of a queue. It is late once its oldest element has waited for the limit,
   * until the oldest one has waited for less than half of it.
   *
   * @param backlog the queue
   * @param oldestSince when its oldest element was added, or empty if the queue is empty
   * @param now the current time by the local monotonic clock
   */
  void observe(Backlog backlog, Optional<Instant> oldestSince, Instant now) {
    boolean late =
        oldestSince.filter(since -> !now.isBefore(since.plus(backlog.limit))).isPresent();
    boolean soon =
        oldestSince
            .filter(since -> !now.isBefore(since.plus(backlog.limit.dividedBy(2))))
            .isEmpty();
    if (late) {
      congestedFrom.putIfAbsent(backlog, now.plus(PERSISTENCE));
    } else if (soon) {
      congestedFrom.remove(backlog);
    }
  }

  /** Returns whether a queue has been late for long enough. */
  boolean isCongested(Backlog backlog, Instant now) {
    return Optional.ofNullable(congestedFrom.get(backlog))
        .filter(from -> !now.isBefore(from))
        .isPresent();
  }
}
