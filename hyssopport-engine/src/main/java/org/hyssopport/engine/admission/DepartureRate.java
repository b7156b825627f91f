package org.hyssopport.engine.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * How fast the declared work that waits is started, measured while there is some.
 *
 * <p>It exceeds the processors of the workers if run times are declared too long, as they are off
 * by a factor of two and more. Answers with the faster of a recent and a longer average, so that a
 * short standstill does not make a backlog look hopeless. Not thread-safe.
 *
 * @since 0.3
 */
public final class DepartureRate {

  /** The time that a few tasks of any queue take to end. */
  private static final Duration SHORT_HALF_LIFE = Duration.ofSeconds(2);

  /** Outlasts a usual interruption, which takes 5.5 s. */
  private static final Duration LONG_HALF_LIFE = Duration.ofSeconds(8);

  private final Average recent = new Average(SHORT_HALF_LIFE);
  private final Average longer = new Average(LONG_HALF_LIFE);

  private DepartureRate() {}

  /** Returns a rate of which nothing is measured yet. */
  public static DepartureRate unknown() {
    return new DepartureRate();
  }

  /** Records the processor-seconds that left during a span in which work waited all the time. */
  public void recordDepartures(Instant from, Instant to, double work) {
    recent.recordDepartures(from, to, work);
    longer.recordDepartures(from, to, work);
  }

  /**
   * Returns the processor-seconds that leave in a second, or empty if work has not waited for long
   * enough to tell.
   */
  public Optional<Double> perSecond(Instant now) {
    double recentRate = recent.perSecond(now).orElse(0.0);
    return longer.perSecond(now).map(rate -> Math.max(rate, recentRate));
  }

  /** An average over time that forgets by halves. */
  private static final class Average {

    /** The shortest time of waiting from which a rate is told, in seconds. */
    private static final double SHORTEST_SECONDS = 1;

    private final Duration halfLife;
    private double seconds;
    private double work;
    private Instant updatedAt = Instant.EPOCH;

    private Average(Duration halfLife) {
      this.halfLife = halfLife;
    }

    private void recordDepartures(Instant from, Instant to, double departed) {
      double kept = shareKept(to);
      seconds = seconds * kept + Duration.between(from, to).toMillis() / 1000.0;
      work = work * kept + departed;
      updatedAt = to;
    }

    private Optional<Double> perSecond(Instant now) {
      return seconds * shareKept(now) < SHORTEST_SECONDS
          ? Optional.empty()
          : Optional.of(Math.max(0, work) / seconds);
    }

    private double shareKept(Instant now) {
      double halves = Duration.between(updatedAt, now).toMillis() / (double) halfLife.toMillis();
      return Math.pow(0.5, Math.max(0, halves));
    }
  }
}
