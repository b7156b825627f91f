package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.hyssopport.protocol.MemberMessage.PendingCount;

/**
 * How many jobs of each queue wait to start, as a scheduler counted them.
 *
 * <p>Exists only once a scheduler has recovered and counted: while no count is known, there is no
 * instance, so that an unknown count can't be taken for an empty queue.
 *
 * @param term the term of the scheduler
 * @param byQueue the number of jobs that have not started, by the name of the queue; a queue that
 *     is absent has none
 * @param countedAt the time up to which all accepted jobs are counted, by the local monotonic clock
 */
record PendingJobs(long term, Map<String, Integer> byQueue, Instant countedAt) {

  /** Returns how many jobs of a queue wait to start. */
  int of(String queue) {
    return byQueue.getOrDefault(queue, 0);
  }

  /** Returns whether the jobs were counted no longer ago than a time span. */
  boolean isCountedWithin(Duration span, Instant now) {
    return now.isBefore(countedAt.plus(span));
  }

  /**
   * Returns the count as the answer to a heartbeat that was sent at a time of its sender's clock.
   */
  PendingCount toMessage(long heartbeatSentAtMillis, Instant now) {
    return new PendingCount(
        byQueue, Duration.between(countedAt, now).toMillis(), heartbeatSentAtMillis);
  }

  /**
   * Returns the count that answers a heartbeat of this member.
   *
   * <p>The answer may have been on its way for any time, so the count is dated from the heartbeat,
   * which was certainly sent before the scheduler answered it.
   */
  static PendingJobs fromMessage(long term, PendingCount count) {
    Instant countedAt =
        Instant.ofEpochMilli(count.heartbeatSentAtMillis()).minusMillis(count.ageMillis());
    return new PendingJobs(term, Map.copyOf(count.byQueue()), countedAt);
  }
}
