package org.hyssopport.engine.work;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.StoredRecord;
import org.hyssopport.engine.work.StreamRecord.HorizonExtended;
import org.hyssopport.engine.work.StreamRecord.JobAccepted;
import org.hyssopport.engine.work.StreamRecord.JobCancelled;
import org.hyssopport.engine.work.StreamRecord.KeyClaimed;
import org.hyssopport.engine.work.StreamRecord.KeyClosed;
import org.hyssopport.engine.work.StreamRecord.StreamOwned;
import org.hyssopport.engine.work.StreamRecord.TaskClosed;
import org.hyssopport.engine.work.StreamRecord.TasksClaimed;

/**
 * The jobs and keys of one stream.
 *
 * <p>The first valid claim of an attempt opens it; the next attempt can be claimed only after the
 * open one was closed. Ended jobs and expired keys are forgotten by the log's own clock, so that
 * all readers forget alike.
 *
 * @since 0.1
 */
public final class WorkProjection implements Projection {

  private static final Duration ENDED_JOBS_KEPT = Duration.ofHours(1);
  private static final int FEWEST_KEYS_TO_SWEEP = 1024;

  private final Map<String, ProjectedJob> jobs = new LinkedHashMap<>();
  private final Map<String, ProjectedJob> unfinished = new LinkedHashMap<>();
  private final Deque<ProjectedJob> ended = new ArrayDeque<>();
  private final Map<String, KeyStatus> keys = new LinkedHashMap<>();
  private int sweepKeysAt = FEWEST_KEYS_TO_SWEEP;
  private long epoch;
  private Optional<FailureDomain> owner = Optional.empty();

  private WorkProjection() {}

  /** Returns the state of a stream without records. */
  public static WorkProjection empty() {
    return new WorkProjection();
  }

  /** Returns the epoch of the stream's owner, 0 before the first. */
  public long epoch() {
    return epoch;
  }

  /** Returns the failure domain that decides for the stream. */
  public Optional<FailureDomain> owner() {
    return owner;
  }

  /** Returns a job. */
  public Optional<ProjectedJob> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns all jobs that are still known, oldest first. */
  public Collection<ProjectedJob> jobs() {
    return jobs.values();
  }

  /** Returns all jobs that have not ended, oldest first. */
  public Collection<ProjectedJob> unfinishedJobs() {
    return unfinished.values();
  }

  /** Returns the state of a key. */
  public Optional<KeyStatus> key(String key) {
    return Optional.ofNullable(keys.get(key));
  }

  /** Tells whether an attempt is open. */
  public boolean isOpen(String job, int task, int attempt) {
    ProjectedJob found = jobs.get(job);
    return found != null && found.isOpen(task, attempt);
  }

  @Override
  public boolean apply(StoredRecord stored, StreamRecord record) {
    forget(stored.appendedAt());
    boolean valid = applyTyped(stored, record);
    moveIfEnded(record);
    return valid;
  }

  private boolean applyTyped(StoredRecord stored, StreamRecord record) {
    Instant at = stored.appendedAt();
    if (record instanceof StreamOwned owned) {
      return own(owned);
    }
    if (record instanceof JobAccepted accepted) {
      return accept(accepted.spec(), at);
    }
    if (record instanceof JobCancelled cancel) {
      return job(cancel.job()).map(job -> job.cancel(at)).orElse(false);
    }
    if (record instanceof TasksClaimed claim) {
      return claim.epoch() == epoch
          && job(claim.job()).map(job -> job.claim(claim.claims())).orElse(false);
    }
    if (record instanceof HorizonExtended extended) {
      return extended.epoch() == epoch && extend(extended);
    }
    if (record instanceof TaskClosed closed) {
      return job(closed.job()).map(job -> job.close(closed, at)).orElse(false);
    }
    if (record instanceof KeyClaimed claimed) {
      return claimKey(claimed, at);
    }
    return record instanceof KeyClosed closed && closeKey(closed);
  }

  private boolean own(StreamOwned owned) {
    if (owned.epoch() != epoch + 1) {
      return false;
    }
    epoch = owned.epoch();
    owner = Optional.of(owned.failureDomain());
    return true;
  }

  private boolean accept(JobSpec spec, Instant at) {
    if (jobs.containsKey(spec.id()) || spec.tasks() < 1) {
      return false;
    }
    ProjectedJob job = ProjectedJob.accepted(spec, at);
    jobs.put(spec.id(), job);
    unfinished.put(spec.id(), job);
    return true;
  }

  private boolean extend(HorizonExtended extended) {
    return job(extended.job())
        .map(job -> job.extend(extended.task(), extended.attempt(), extended.horizon()))
        .orElse(false);
  }

  private boolean claimKey(KeyClaimed claimed, Instant at) {
    if (keys.containsKey(claimed.key()) || !claimed.expiry().isAfter(at)) {
      return false;
    }
    KeyStatus entry =
        new KeyStatus(claimed.claimant(), claimed.expiry(), Optional.empty(), Optional.empty());
    keys.put(claimed.key(), entry);
    return true;
  }

  private boolean closeKey(KeyClosed closed) {
    KeyStatus known = keys.get(closed.key());
    if (known == null || known.cause().isPresent()) {
      return false;
    }
    keys.put(closed.key(), known.closed(closed.cause(), closed.answer()));
    return true;
  }

  private void moveIfEnded(StreamRecord record) {
    String id = null;
    if (record instanceof TaskClosed closed) {
      id = closed.job();
    } else if (record instanceof JobCancelled cancelled) {
      id = cancelled.job();
    }
    ProjectedJob job = id == null ? null : unfinished.get(id);
    if (job != null && job.isEnded()) {
      unfinished.remove(id);
      ended.add(job);
    }
  }

  private void forget(Instant logTime) {
    Instant oldest = logTime.minus(ENDED_JOBS_KEPT);
    while (!ended.isEmpty() && ended.peek().endedAt().orElseThrow().isBefore(oldest)) {
      jobs.remove(ended.remove().spec().id());
    }
    if (keys.size() > sweepKeysAt) {
      keys.values().removeIf(entry -> entry.expiry().isBefore(logTime));
      sweepKeysAt = Math.max(FEWEST_KEYS_TO_SWEEP, keys.size() * 2);
    }
  }

  @Override
  public String snapshot() {
    List<ProjectedJob.Snapshot> jobSnapshots = new ArrayList<>();
    jobs.values().forEach(job -> jobSnapshots.add(job.snapshot()));
    Snapshot snapshot = new Snapshot(epoch, owner, jobSnapshots, Map.copyOf(keys));
    return RecordCodec.write(snapshot, Snapshot.class);
  }

  @Override
  public void restore(String state) {
    Snapshot snapshot = RecordCodec.read(state, Snapshot.class);
    epoch = snapshot.epoch();
    owner = snapshot.owner();
    jobs.clear();
    unfinished.clear();
    ended.clear();
    keys.clear();
    keys.putAll(snapshot.keys());
    for (ProjectedJob.Snapshot each : snapshot.jobs()) {
      ProjectedJob job = ProjectedJob.restored(each);
      jobs.put(each.spec().id(), job);
      if (job.isEnded()) {
        ended.add(job);
      } else {
        unfinished.put(each.spec().id(), job);
      }
    }
  }

  /**
   * The printed state.
   *
   * @param epoch the owner's epoch
   * @param owner the owner
   * @param jobs all known jobs
   * @param keys all known keys
   */
  record Snapshot(
      long epoch,
      Optional<FailureDomain> owner,
      List<ProjectedJob.Snapshot> jobs,
      Map<String, KeyStatus> keys) {}
}
