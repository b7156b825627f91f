package org.hyssopport.engine.job;

/**
 * One record of the journal of jobs; the newest of each kind and job counts.
 *
 * @since 0.2
 */
public sealed interface JournalEntry {

  /** Returns the job that the entry speaks of. */
  JobId job();

  /**
   * A job was accepted.
   *
   * @param definition the job
   */
  record Accepted(JobDefinition definition) implements JournalEntry {
    @Override
    public JobId job() {
      return definition.id();
    }
  }

  /**
   * A job got further.
   *
   * @param progress how far
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
   * All that is stored about a job is dropped.
   *
   * @param job the job
   */
  record Forgotten(JobId job) implements JournalEntry {}
}
