package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that moves only when it is told to, and runs what is due on the way.
 *
 * @since 0.1
 */
public final class FakeClock {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparing(ScheduledAction::at).thenComparing(ScheduledAction::sequence));
  private Instant now = START;
  private long lastSequence;

  private FakeClock() {}

  /** Returns a clock at a fixed start. */
  public static FakeClock create() {
    return new FakeClock();
  }

  /** Returns the time. */
  public Instant now() {
    return now;
  }

  /** Runs something at a moment. */
  public void at(Instant moment, Runnable action) {
    lastSequence++;
    Instant bounded = moment.isBefore(now) ? now : moment;
    queue.add(new ScheduledAction(bounded, lastSequence, action));
  }

  /** Runs something after a while. */
  public void after(Duration delay, Runnable action) {
    at(now.plus(delay), action);
  }

  /** Moves on and runs everything that is due until then. */
  public void advance(Duration length) {
    Instant end = now.plus(length);
    while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
      ScheduledAction next = queue.remove();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /**
   * Something that is due.
   *
   * @param at when
   * @param sequence keeps the order among equal moments
   * @param action what
   */
  private record ScheduledAction(Instant at, long sequence, Runnable action) {}
}
