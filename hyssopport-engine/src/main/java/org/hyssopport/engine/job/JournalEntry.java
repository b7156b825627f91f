package org.hyssopport.engine.job;

/**
 * An entry of the job journal. Only the newest entry of each kind and job is in force.
 *
 * @since 0.2
 */
public sealed interface JournalEntry {

  /** Returns the id of the job that the entry is about. */
  JobId job();

  /**
   * A job was accepted.
   *
   * @param definition the definition of the job
   */
  record Accepted(JobDefinition definition) implements JournalEntry {
    @Override
    public JobId job() {
      return definition.id();
    }
  }

  /**
   * The progress of a job has changed.
   *
   * @param progress the new progress
   */
  record Progressed(JobProgress progress) implements JournalEntry {
    @Override
    public JobId job() {
      return progress.job();
    }
  }

  /**
   * A caller cancelled a job.
   *
   * @param job the job
   */
  record Cancelled(JobId job) implements JournalEntry {}

  /**
   * The cancellation of a job that has not become known is no longer needed.
   *
   * @param job the job
   */
  record CancellationExpired(JobId job) implements JournalEntry {}

  /**
   * The definition of an ended job, and its cancellation if there was one, are no longer needed:
   * only its progress is kept, which names its final state.
   *
   * @param job the job
   */
  record Archived(JobId job) implements JournalEntry {}

  /**
   * A job was forgotten: all stored entries about it are dropped.
   *
   * @param job the job
   */
  record Forgotten(JobId job) implements JournalEntry {}
}
