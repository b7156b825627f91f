package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that moves only when advanced, and runs the scheduled actions that become due.
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

  /** Returns a clock that starts at a fixed instant, the same for every clock. */
  public static FakeClock create() {
    return new FakeClock();
  }

  /** Returns the current instant. */
  public Instant now() {
    return now;
  }

  /** Schedules an action for an instant; an instant in the past counts as the current one. */
  public void at(Instant moment, Runnable action) {
    lastSequence++;
    Instant bounded = moment.isBefore(now) ? now : moment;
    queue.add(new ScheduledAction(bounded, lastSequence, action));
  }

  /** Schedules an action to run after a delay. */
  public void after(Duration delay, Runnable action) {
    at(now.plus(delay), action);
  }

  /** Advances the clock by a span and runs every action that becomes due. */
  public void advance(Duration span) {
    Instant end = now.plus(span);
    while (!queue.isEmpty() && !queue.peek().at().isAfter(end)) {
      ScheduledAction next = queue.remove();
      now = next.at();
      next.action().run();
    }
    now = end;
  }

  /**
   * A scheduled action.
   *
   * @param at when the action is due
   * @param sequence keeps the order of scheduling among actions due at the same instant
   * @param action the action
   */
  private record ScheduledAction(Instant at, long sequence, Runnable action) {}
}
