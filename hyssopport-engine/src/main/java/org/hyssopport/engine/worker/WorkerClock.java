package org.hyssopport.engine.worker;

import java.time.Duration;
import java.time.Instant;

/**
 * Relates a worker's own steady clock to the local one.
 *
 * @since 0.2
 */
public final class WorkerClock {

  /** A worker's clock may run this much slower than ours; the platform's stated bound. */
  static final double SLOWEST_RATE = 0.98;

  private final long readingMillis;
  private final Instant readAt;

  private WorkerClock(long readingMillis, Instant readAt) {
    this.readingMillis = readingMillis;
    this.readAt = readAt;
  }

  /** Returns a relation from one reading, taken no later than the given local instant. */
  public static WorkerClock ofReading(long readingMillis, Instant readAt) {
    return new WorkerClock(readingMillis, readAt);
  }

  /** Returns the reading to expect at a local instant, if both clocks run alike. */
  public long expectedReadingAt(Instant now) {
    return readingMillis + Duration.between(readAt, now).toMillis();
  }

  /** Returns the first local instant at which the worker's clock has surely passed a reading. */
  public Instant instantSurelyPast(long reading) {
    long ahead = Math.max(0, reading - readingMillis);
    return readAt.plusMillis((long) Math.ceil(ahead / SLOWEST_RATE));
  }
}
