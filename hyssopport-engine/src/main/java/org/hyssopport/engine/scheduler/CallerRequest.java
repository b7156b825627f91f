package org.hyssopport.engine.scheduler;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;

/**
 * What a caller asks of the scheduler.
 *
 * @since 0.2
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = CallerRequest.Submit.class, name = "s"),
  @JsonSubTypes.Type(value = CallerRequest.Cancel.class, name = "c"),
  @JsonSubTypes.Type(value = CallerRequest.Show.class, name = "g")
})
public sealed interface CallerRequest {

  /** Returns the job that the request is about. */
  JobId job();

  /**
   * Accept a job.
   *
   * @param definition the job
   */
  record Submit(JobDefinition definition) implements CallerRequest {
    @Override
    public JobId job() {
      return definition.id();
    }
  }

  /**
   * Cancel a job.
   *
   * @param job the job
   */
  record Cancel(JobId job) implements CallerRequest {}

  /**
   * Show the state of a job.
   *
   * @param job the job
   */
  record Show(JobId job) implements CallerRequest {}
}
