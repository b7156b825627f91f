package org.hyssopport.engine.worker;

import java.time.Duration;
import java.time.Instant;

/**
 * Relates a worker's own monotonic clock to the local one.
 *
 * @since 0.2
 */
public final class WorkerClock {

  /** The lowest rate of a worker's clock relative to the local one that the platform allows. */
  static final double SLOWEST_RATE = 0.98;

  private final long readingMillis;
  private final Instant readAt;

  private WorkerClock(long readingMillis, Instant readAt) {
    this.readingMillis = readingMillis;
    this.readAt = readAt;
  }

  /**
   * Returns the relation that follows from one reading.
   *
   * @param readingMillis the reading of the worker's clock in milliseconds
   * @param readAt an instant of the local clock no earlier than the reading, such as the arrival of
   *     the answer
   * @return the relation
   */
  public static WorkerClock ofReading(long readingMillis, Instant readAt) {
    return new WorkerClock(readingMillis, readAt);
  }

  /** Returns the reading in milliseconds expected now if both clocks run at the same rate. */
  public long expectedReadingAt(Instant now) {
    return readingMillis + Duration.between(readAt, now).toMillis();
  }

  /**
   * Returns the first instant of the local clock at which the worker's clock has surely passed a
   * reading, even if it runs at its slowest rate.
   *
   * @param reading the reading in milliseconds of the worker's clock
   * @return the instant of the local clock
   */
  public Instant instantSurelyPast(long reading) {
    long ahead = Math.max(0, reading - readingMillis);
    return readAt.plusMillis((long) Math.ceil(ahead / SLOWEST_RATE));
  }
}
