package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopport.engine.job.JobId;

/**
 * The cancellations of jobs that are not known. Such a job is cancelled once it is stored, if it is
 * stored after all: its submission may still be on its way.
 *
 * <p>The cancellations are in the journal too, where the next scheduler finds them. They are kept
 * as long as an ended job, and dropped only after that: callers were told that the jobs don't run.
 */
final class UnknownJobCancellations {

  /** Limits the memory for what callers ask; entries of the journal are kept in any case. */
  private static final int MAXIMUM_ENTRIES = 10_000;

  /** The jobs and when their cancellations expire, in that order. */
  private final Map<JobId, Instant> expiryByJob = new LinkedHashMap<>();

  private final Duration retention;

  /**
   * Creates an empty collection.
   *
   * @param retention how long a cancellation is kept
   */
  UnknownJobCancellations(Duration retention) {
    this.retention = retention;
  }

  /** Returns whether callers have to be refused, with this number of others waiting already. */
  boolean isFull(int waiting) {
    return expiryByJob.size() + waiting >= MAXIMUM_ENTRIES;
  }

  void add(JobId job, Instant now) {
    expiryByJob.remove(job);
    expiryByJob.put(job, now.plus(retention));
  }

  /** Removes the cancellation of a job that has become known; returns false if there is none. */
  boolean remove(JobId job) {
    return expiryByJob.remove(job) != null;
  }

  /** Removes and returns the cancellations that have expired. */
  List<JobId> removeExpired(Instant now) {
    List<JobId> expired = new ArrayList<>();
    Iterator<Map.Entry<JobId, Instant>> oldestFirst = expiryByJob.entrySet().iterator();
    while (oldestFirst.hasNext()) {
      Map.Entry<JobId, Instant> entry = oldestFirst.next();
      if (now.isBefore(entry.getValue())) {
        break;
      }
      expired.add(entry.getKey());
      oldestFirst.remove();
    }
    return expired;
  }
}
