package org.hyssopport.engine.work;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;

/**
 * A record in one of the log's streams.
 *
 * @since 0.1
 * @see WorkProjection
 * @see ConfigurationProjection
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = StreamRecord.StreamOwned.class, name = "stream-owned"),
  @JsonSubTypes.Type(value = StreamRecord.JobAccepted.class, name = "job-accepted"),
  @JsonSubTypes.Type(value = StreamRecord.JobCancelled.class, name = "job-cancelled"),
  @JsonSubTypes.Type(value = StreamRecord.TasksClaimed.class, name = "tasks-claimed"),
  @JsonSubTypes.Type(value = StreamRecord.HorizonExtended.class, name = "horizon-extended"),
  @JsonSubTypes.Type(value = StreamRecord.TaskClosed.class, name = "task-closed"),
  @JsonSubTypes.Type(value = StreamRecord.KeyClaimed.class, name = "key-claimed"),
  @JsonSubTypes.Type(value = StreamRecord.KeyClosed.class, name = "key-closed"),
  @JsonSubTypes.Type(value = StreamRecord.Checkpoint.class, name = "checkpoint"),
  @JsonSubTypes.Type(
      value = StreamRecord.ConfigurationChanged.class,
      name = "configuration-changed")
})
public sealed interface StreamRecord {

  /**
   * Makes a failure domain the owner of the stream from this record on.
   *
   * @param epoch the epoch of the new owner; invalid unless it is the current epoch plus one
   * @param failureDomain the new owner
   */
  record StreamOwned(long epoch, FailureDomain failureDomain) implements StreamRecord {}

  /**
   * Accepts a job.
   *
   * @param spec the job's specification
   */
  record JobAccepted(JobSpec spec) implements StreamRecord {}

  /**
   * Cancels a job.
   *
   * @param job the job's id
   */
  record JobCancelled(String job) implements StreamRecord {}

  /**
   * Opens attempts at tasks of one job, either all of them or none.
   *
   * @param job the job's id
   * @param epoch the epoch of the owner that writes the record; invalid unless it is the current
   *     one
   * @param claims the claimed tasks and their placements
   */
  record TasksClaimed(String job, long epoch, List<TaskClaim> claims) implements StreamRecord {

    /** Copies the list. */
    public TasksClaimed {
      claims = List.copyOf(claims);
    }
  }

  /**
   * One task of a claim.
   *
   * @param task the task's index in its job
   * @param attempt the number of the new attempt; invalid unless it is the task's latest attempt
   *     plus one
   * @param placement where and until when the attempt may run
   */
  record TaskClaim(int task, int attempt, Placement placement) {}

  /**
   * Extends the horizon of an open attempt.
   *
   * @param job the job's id
   * @param task the task's index
   * @param attempt the open attempt
   * @param epoch the epoch of the owner that writes the record; invalid unless it is the current
   *     one
   * @param horizon the new horizon
   */
  record HorizonExtended(String job, int task, int attempt, long epoch, Instant horizon)
      implements StreamRecord {}

  /**
   * Closes an open attempt. The proof of the cause is either an answer of the worker or the expiry
   * of the attempt's horizon.
   *
   * @param job the job's id
   * @param task the task's index
   * @param attempt the open attempt
   * @param cause why the attempt was closed
   * @param lapsedHorizon the horizon of the attempt, if its expiry is the proof; the close is then
   *     invalid if the attempt's horizon was extended by an earlier record
   */
  record TaskClosed(
      String job, int task, int attempt, CloseCause cause, Optional<Instant> lapsedHorizon)
      implements StreamRecord {

    /** Returns a close whose proof is an answer of the worker. */
    public static TaskClosed confirmed(String job, int task, int attempt, CloseCause cause) {
      return new TaskClosed(job, task, attempt, cause, Optional.empty());
    }

    /** Returns a close whose proof is the expiry of the attempt's horizon. */
    public static TaskClosed horizonExpired(String job, int task, int attempt, Instant horizon) {
      return new TaskClosed(job, task, attempt, CloseCause.LOST, Optional.of(horizon));
    }
  }

  /**
   * Claims a caller's idempotency key for its only run. A second claim of a key that has not been
   * evicted is invalid, however the first run ended.
   *
   * @param key the key and its expiry in one text
   * @param claimant the entry instance that will run the request
   * @param expiry the time after which the key may be evicted
   */
  record KeyClaimed(String key, EntryId claimant, Instant expiry) implements StreamRecord {}

  /**
   * Records how the run under an idempotency key ended.
   *
   * @param key the key and its expiry in one text
   * @param cause how the run ended
   * @param answer the complete answer, if it is short enough to be stored
   */
  record KeyClosed(String key, CloseCause cause, Optional<String> answer) implements StreamRecord {}

  /**
   * Holds the complete state, so that the log may drop the records that it covers.
   *
   * @param covered the offset of the last record that the state includes
   * @param state the encoded state of the projection
   */
  record Checkpoint(long covered, String state) implements StreamRecord {}

  /**
   * Changes the configuration.
   *
   * @param base the version that the change is based on; the change is invalid unless this is the
   *     version in force
   * @param text the complete new configuration, as JSON
   */
  record ConfigurationChanged(long base, String text) implements StreamRecord {}
}
