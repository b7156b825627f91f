package org.hyssopport.engine.scheduler;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;

/**
 * A caller's request to the scheduler.
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

  /** Returns the id of the job that the request concerns. */
  JobId job();

  /**
   * Submits a job.
   *
   * @param definition the definition of the job
   */
  record Submit(JobDefinition definition) implements CallerRequest {
    @Override
    public JobId job() {
      return definition.id();
    }
  }

  /**
   * Cancels a job.
   *
   * @param job the id of the job
   */
  record Cancel(JobId job) implements CallerRequest {}

  /**
   * Asks for the state of a job.
   *
   * @param job the id of the job
   */
  record Show(JobId job) implements CallerRequest {}
}
