package org.hyssopport.engine.job;

/**
 * Identifies one step of one occurrence of a job.
 *
 * @param job the job
 * @param occurrence which time the job runs, from 0
 * @param step the step's place in the job, from 0
 * @since 0.2
 */
public record StepId(JobId job, int occurrence, int step) {

  @Override
  public String toString() {
    return job + "." + occurrence + "." + step;
  }
}
