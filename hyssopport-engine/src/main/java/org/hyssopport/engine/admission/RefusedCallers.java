package org.hyssopport.engine.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;

/**
 * Remembers when the callers of refused jobs first asked, so that one who returns goes before
 * newcomers. Not thread-safe.
 *
 * @since 0.3
 */
public final class RefusedCallers {

  /** How long a refused job is remembered: three times the usual time limit of callers. */
  private static final Duration RETENTION = Duration.ofSeconds(10);

  /** Some hundred refusals a second for the time of retention. */
  private static final int MAXIMUM_JOBS = 5_000;

  private final Map<JobId, Instant> firstAskedAt = new LinkedHashMap<>();

  private RefusedCallers() {}

  /** Returns a memory without any caller. */
  public static RefusedCallers none() {
    return new RefusedCallers();
  }

  /** Returns when the caller of a job first asked for it, or empty if it was not refused lately. */
  public Optional<Instant> firstAskedAt(JobId job, Instant now) {
    return Optional.ofNullable(firstAskedAt.get(job))
        .filter(askedAt -> now.isBefore(askedAt.plus(RETENTION)));
  }

  /** Records the refusal of a job; its first one counts. */
  public void add(JobId job, Instant now) {
    removeExpired(now);
    if (firstAskedAt.size() < MAXIMUM_JOBS) {
      firstAskedAt.putIfAbsent(job, now);
    }
  }

  /** Forgets a job; returns whether it was remembered. */
  public boolean remove(JobId job) {
    return firstAskedAt.remove(job) != null;
  }

  private void removeExpired(Instant now) {
    Iterator<Instant> oldestFirst = firstAskedAt.values().iterator();
    while (oldestFirst.hasNext() && !now.isBefore(oldestFirst.next().plus(RETENTION))) {
      oldestFirst.remove();
    }
  }
}
