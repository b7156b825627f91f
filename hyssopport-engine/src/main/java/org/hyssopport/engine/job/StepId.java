package org.hyssopport.engine.job;

/**
 * Identifies one step of one occurrence of a job.
 *
 * @param job the job
 * @param occurrence the number of the occurrence of the job, from 0
 * @param step the index of the step in the job, from 0
 * @since 0.2
 */
public record StepId(JobId job, int occurrence, int step) {

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }

  // Hand-written for speed: every order and every reported run is looked up by this key.
  @Override
  public boolean equals(Object object) {
    return object instanceof StepId other
        && step == other.step
        && occurrence == other.occurrence
        && job.equals(other.job);
  }

  @Override
  public int hashCode() {
    return 31 * (31 * job.hashCode() + occurrence) + step;
  }
}
