package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock that runs scheduled actions in the order of their instants.
 *
 * <p>Actions that are due at the same instant run in the order in which they were scheduled.
 *
 * @since 0.2
 */
public final class VirtualTime {

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          Comparator.comparing(ScheduledAction::at).thenComparingLong(ScheduledAction::number));
  private Instant now = Instant.parse("2026-12-04T06:00:00Z");
  private long lastNumber;

  private record ScheduledAction(Instant at, long number, Runnable action) {}

  /** Returns the current virtual instant. */
  public Instant now() {
    return now;
  }

  /** Schedules an action to run after a delay. */
  public void after(Duration delay, Runnable action) {
    lastNumber++;
    queue.add(new ScheduledAction(now.plus(delay), lastNumber, action));
  }

  /** Schedules an action to run after a delay in milliseconds. */
  public void afterMillis(long millis, Runnable action) {
    after(Duration.ofMillis(millis), action);
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
}
