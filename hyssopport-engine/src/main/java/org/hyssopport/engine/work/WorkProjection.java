package org.hyssopport.engine.work;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
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
 * Computes the owner, the jobs and the idempotency keys of one stream from its records.
 *
 * <p>The first valid claim of an attempt opens it; the next attempt of the same task can be claimed
 * only after the open one was closed. Ended jobs and expired keys are evicted by the append times
 * of the records, which the log's clock gives, and not by the clock of the reader.
 *
 * <p>Not thread-safe; changed only by its {@link StreamFollower}.
 *
 * @since 0.1
 */
public final class WorkProjection implements Projection {

  private static final Duration ENDED_JOB_RETENTION = Duration.ofHours(1);

  /** Expired keys are evicted only if there are more keys than this. */
  private static final int MINIMUM_KEYS_TO_SWEEP = 1024;

  private final Map<String, ProjectedJob> jobs = new LinkedHashMap<>();
  private final Map<String, ProjectedJob> unfinishedJobs = new LinkedHashMap<>();
  private final Queue<ProjectedJob> endedJobs =
      new PriorityQueue<>(Comparator.comparing(job -> job.endedAt().orElseThrow()));
  private final Map<String, KeyStatus> keys = new LinkedHashMap<>();
  private int keySweepThreshold = MINIMUM_KEYS_TO_SWEEP;
  private long epoch;
  private Optional<FailureDomain> owner = Optional.empty();

  private WorkProjection() {}

  /** Returns the projection of a stream without records. */
  public static WorkProjection empty() {
    return new WorkProjection();
  }

  /** Returns the epoch of the stream's owner, or 0 if the stream has had no owner. */
  public long epoch() {
    return epoch;
  }

  /** Returns the failure domain that owns the stream, or empty if the stream has had no owner. */
  public Optional<FailureDomain> owner() {
    return owner;
  }

  /** Returns the job with the given id, or empty if it is unknown or has been evicted. */
  public Optional<ProjectedJob> job(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns all jobs that have not been evicted, oldest first. */
  public Collection<ProjectedJob> jobs() {
    return jobs.values();
  }

  /** Returns all jobs that have not ended, oldest first. */
  public Collection<ProjectedJob> unfinishedJobs() {
    return unfinishedJobs.values();
  }

  /** Returns the state of an idempotency key, or empty if it is unknown or has been evicted. */
  public Optional<KeyStatus> key(String key) {
    return Optional.ofNullable(keys.get(key));
  }

  /** Returns whether the given attempt is open. */
  public boolean isOpen(String job, int task, int attempt) {
    ProjectedJob found = jobs.get(job);
    return found != null && found.isOpen(task, attempt);
  }

  @Override
  public boolean apply(StoredRecord stored, StreamRecord record) {
    evictExpired(stored.appendedAt());
    boolean valid = applyByType(stored, record);
    moveJobIfEnded(record);
    return valid;
  }

  private boolean applyByType(StoredRecord stored, StreamRecord record) {
    Instant appendedAt = stored.appendedAt();
    if (record instanceof StreamOwned owned) {
      return changeOwner(owned);
    }
    if (record instanceof JobAccepted accepted) {
      return acceptJob(accepted.spec(), appendedAt);
    }
    if (record instanceof JobCancelled cancel) {
      return job(cancel.job()).map(job -> job.cancel(appendedAt)).orElse(false);
    }
    if (record instanceof TasksClaimed claim) {
      return claim.epoch() == epoch
          && job(claim.job()).map(job -> job.claimTasks(claim.claims())).orElse(false);
    }
    if (record instanceof HorizonExtended extended) {
      return extended.epoch() == epoch && extendHorizon(extended);
    }
    if (record instanceof TaskClosed closed) {
      return job(closed.job()).map(job -> job.closeAttempt(closed, appendedAt)).orElse(false);
    }
    if (record instanceof KeyClaimed claimed) {
      return claimKey(claimed, appendedAt);
    }
    return record instanceof KeyClosed closed && closeKey(closed);
  }

  private boolean changeOwner(StreamOwned owned) {
    if (owned.epoch() != epoch + 1) {
      return false;
    }
    epoch = owned.epoch();
    owner = Optional.of(owned.failureDomain());
    return true;
  }

  private boolean acceptJob(JobSpec spec, Instant appendedAt) {
    if (jobs.containsKey(spec.id()) || spec.tasks() < 1) {
      return false;
    }
    ProjectedJob job = ProjectedJob.accepted(spec, appendedAt);
    jobs.put(spec.id(), job);
    unfinishedJobs.put(spec.id(), job);
    return true;
  }

  private boolean extendHorizon(HorizonExtended extended) {
    return job(extended.job())
        .map(job -> job.extendHorizon(extended.task(), extended.attempt(), extended.horizon()))
        .orElse(false);
  }

  private boolean claimKey(KeyClaimed claimed, Instant appendedAt) {
    if (keys.containsKey(claimed.key()) || !claimed.expiry().isAfter(appendedAt)) {
      return false;
    }
    KeyStatus keyStatus =
        new KeyStatus(claimed.claimant(), claimed.expiry(), Optional.empty(), Optional.empty());
    keys.put(claimed.key(), keyStatus);
    return true;
  }

  private boolean closeKey(KeyClosed closed) {
    KeyStatus keyStatus = keys.get(closed.key());
    if (keyStatus == null || keyStatus.cause().isPresent()) {
      return false;
    }
    keys.put(closed.key(), keyStatus.withCauseAndAnswer(closed.cause(), closed.answer()));
    return true;
  }

  private void moveJobIfEnded(StreamRecord record) {
    String id = null;
    if (record instanceof TaskClosed closed) {
      id = closed.job();
    } else if (record instanceof JobCancelled cancelled) {
      id = cancelled.job();
    }
    ProjectedJob job = id == null ? null : unfinishedJobs.get(id);
    if (job != null && job.isEnded()) {
      unfinishedJobs.remove(id);
      endedJobs.add(job);
    }
  }

  private void evictExpired(Instant logTime) {
    Instant cutoff = logTime.minus(ENDED_JOB_RETENTION);
    while (!endedJobs.isEmpty() && endedJobs.peek().endedAt().orElseThrow().isBefore(cutoff)) {
      jobs.remove(endedJobs.remove().spec().id());
    }
    if (keys.size() > keySweepThreshold) {
      keys.values().removeIf(keyStatus -> keyStatus.expiry().isBefore(logTime));
      keySweepThreshold = Math.max(MINIMUM_KEYS_TO_SWEEP, keys.size() * 2);
    }
  }

  @Override
  public String snapshot() {
    List<ProjectedJob.Snapshot> jobSnapshots = new ArrayList<>();
    jobs.values().forEach(job -> jobSnapshots.add(job.snapshot()));
    Snapshot snapshot =
        new Snapshot(epoch, owner, jobSnapshots, Map.copyOf(keys), keySweepThreshold);
    return RecordCodec.toJson(snapshot, Snapshot.class);
  }

  @Override
  public void restore(String state) {
    Snapshot snapshot = RecordCodec.fromJson(state, Snapshot.class);
    epoch = snapshot.epoch();
    owner = snapshot.owner();
    jobs.clear();
    unfinishedJobs.clear();
    endedJobs.clear();
    keys.clear();
    keys.putAll(snapshot.keys());
    // Snapshots of earlier versions have no threshold.
    keySweepThreshold = Math.max(MINIMUM_KEYS_TO_SWEEP, snapshot.keySweepThreshold());
    for (ProjectedJob.Snapshot jobSnapshot : snapshot.jobs()) {
      ProjectedJob job = ProjectedJob.restored(jobSnapshot);
      jobs.put(jobSnapshot.spec().id(), job);
      if (job.isEnded()) {
        endedJobs.add(job);
      } else {
        unfinishedJobs.put(jobSnapshot.spec().id(), job);
      }
    }
  }

  /**
   * The state of the projection, for encoding as JSON.
   *
   * @param epoch the owner's epoch
   * @param owner the failure domain that owns the stream
   * @param jobs all jobs that have not been evicted
   * @param keys all keys that have not been evicted
   * @param keySweepThreshold the number of keys beyond which expired ones are evicted
   */
  record Snapshot(
      long epoch,
      Optional<FailureDomain> owner,
      List<ProjectedJob.Snapshot> jobs,
      Map<String, KeyStatus> keys,
      int keySweepThreshold) {}
}
