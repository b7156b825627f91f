package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their virtual instants.
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

  /** Returns the virtual instant. */
  public Instant now() {
    return now;
  }

  /** Runs an action after a while. */
  public void after(Duration delay, Runnable action) {
    lastNumber++;
    queue.add(new ScheduledAction(now.plus(delay), lastNumber, action));
  }

  /** Runs an action after some milliseconds. */
  public void afterMillis(long millis, Runnable action) {
    after(Duration.ofMillis(millis), action);
  }

  /** Runs all that is due within a span. */
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
