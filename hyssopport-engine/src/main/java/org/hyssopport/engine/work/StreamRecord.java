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
   * Names the failure domain that decides for the stream from here on.
   *
   * @param epoch one more than the epoch before; any other is invalid
   * @param failureDomain the domain
   */
  record StreamOwned(long epoch, FailureDomain failureDomain) implements StreamRecord {}

  /**
   * Accepts a job.
   *
   * @param spec what was asked for
   */
  record JobAccepted(JobSpec spec) implements StreamRecord {}

  /**
   * Cancels a job.
   *
   * @param job the job's id
   */
  record JobCancelled(String job) implements StreamRecord {}

  /**
   * Opens attempts, all or none.
   *
   * @param job the job's id
   * @param epoch the owner's epoch; an older one is invalid
   * @param claims the tasks and their placements
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
   * @param attempt one more than the attempt before; any other is invalid
   * @param placement where it may run
   */
  record TaskClaim(int task, int attempt, Placement placement) {}

  /**
   * Moves the horizon of an open attempt.
   *
   * @param job the job's id
   * @param task the task's index
   * @param attempt the open attempt
   * @param epoch the owner's epoch; an older one is invalid
   * @param horizon the new horizon
   */
  record HorizonExtended(String job, int task, int attempt, long epoch, Instant horizon)
      implements StreamRecord {}

  /**
   * Closes an open attempt; its writer has proof of the cause.
   *
   * @param job the job's id
   * @param task the task's index
   * @param attempt the open attempt
   * @param cause why
   * @param lapsedHorizon the horizon whose passing is the proof, if that is the proof; the close is
   *     invalid if the horizon was extended before it
   */
  record TaskClosed(
      String job, int task, int attempt, CloseCause cause, Optional<Instant> lapsedHorizon)
      implements StreamRecord {

    /** Returns a close that a worker's answer proves. */
    public static TaskClosed confirmed(String job, int task, int attempt, CloseCause cause) {
      return new TaskClosed(job, task, attempt, cause, Optional.empty());
    }

    /** Returns a close that the passing of the attempt's horizon proves. */
    public static TaskClosed horizonExpired(String job, int task, int attempt, Instant horizon) {
      return new TaskClosed(job, task, attempt, CloseCause.LOST, Optional.of(horizon));
    }
  }

  /**
   * Claims a caller's key for its only run; a second claim is invalid whatever became of the first.
   *
   * @param key the key and its expiry in one text
   * @param claimant the instance that will run the request
   * @param expiry when the key may be forgotten
   */
  record KeyClaimed(String key, EntryId claimant, Instant expiry) implements StreamRecord {}

  /**
   * Tells how the run under a key ended.
   *
   * @param key the key and its expiry in one text
   * @param cause how it ended
   * @param answer the whole answer, if it is short enough to keep
   */
  record KeyClosed(String key, CloseCause cause, Optional<String> answer) implements StreamRecord {}

  /**
   * Repeats the whole state, so that older records may lapse.
   *
   * @param covered the offset of the last record that the state includes
   * @param state the printed state of the fold
   */
  record Checkpoint(long covered, String state) implements StreamRecord {}

  /**
   * Changes the configuration.
   *
   * @param base the version that the change was made on; any but the one in force is refused
   * @param text the whole new configuration as printed
   */
  record ConfigurationChanged(long base, String text) implements StreamRecord {}
}
