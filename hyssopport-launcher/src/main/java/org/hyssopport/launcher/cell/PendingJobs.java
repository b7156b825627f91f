package org.hyssopport.launcher.cell;

import java.time.Instant;
import java.util.Map;

/**
 * How many jobs of each queue wait to start, as a scheduler reported it.
 *
 * @param term the term of the scheduler
 * @param byQueue the number of jobs that have not started, by the name of the queue
 * @param knownSince when this member learnt the counts, by the local monotonic clock
 */
record PendingJobs(long term, Map<String, Integer> byQueue, Instant knownSince) {

  /** Returns how many jobs of a queue wait to start. */
  int of(String queue) {
    return byQueue.getOrDefault(queue, 0);
  }
}
