package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hyssopport.launcher.cell.CongestionDetector.Backlog;

/**
 * The queues of one term as its scheduler last observed them: logs when one becomes congested, and
 * keeps the ages for the metrics and the election.
 *
 * <p>Only the thread of the scheduler observes; others read.
 */
final class SchedulerBacklogs {

  private final MemberContext context;
  private final long term;
  private final CongestionDetector detector = new CongestionDetector();
  private volatile Map<Backlog, Duration> ages = Map.of();
  private volatile Set<Backlog> congested = Set.of();

  SchedulerBacklogs(MemberContext context, long term) {
    this.context = context;
    this.term = term;
  }

  /**
   * Records since when the oldest element of each queue waits; queues that are absent are empty.
   */
  void observe(Map<Backlog, Instant> oldestSince) {
    Instant now = context.clock().instant();
    Map<Backlog, Duration> newAges = new EnumMap<>(Backlog.class);
    Set<Backlog> nowCongested = new TreeSet<>();
    for (Backlog backlog : Backlog.values()) {
      Optional<Instant> since = Optional.ofNullable(oldestSince.get(backlog));
      detector.observe(backlog, since, now);
      newAges.put(backlog, since.map(at -> Duration.between(at, now)).orElse(Duration.ZERO));
      if (detector.isCongested(backlog, now)) {
        nowCongested.add(backlog);
      }
    }
    ages = Map.copyOf(newAges);
    if (!nowCongested.equals(congested)) {
      congested = Set.copyOf(nowCongested);
      String event = nowCongested.isEmpty() ? "scheduler keeps up again" : "scheduler congested";
      context.metrics().countDecision(event);
      context
          .log()
          .write(
              event, Map.of("term", term, "queues", nowCongested, "ages", String.valueOf(newAges)));
    }
  }

  /** Returns how long the oldest element of a queue has waited, or empty if none was observed. */
  Optional<Integer> ageMillis(Backlog backlog) {
    return Optional.ofNullable(ages.get(backlog)).map(age -> (int) age.toMillis());
  }

  boolean isCongested(Backlog backlog) {
    return congested.contains(backlog);
  }

  /** Returns whether a queue is congested that another member might not have. */
  boolean callForHandOver() {
    return congested.stream().anyMatch(Backlog::isEndedByHandOver);
  }
}
