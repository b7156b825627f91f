package org.hyssopport.engine.scheduler;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.organisation.OrganisationId;

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
   * @param organisation the organisation of the caller; empty if its caller needed no key
   */
  record Cancel(JobId job, Optional<OrganisationId> organisation) implements CallerRequest {

    /** Returns the request of a caller that needed no key. */
    public static Cancel withoutOrganisation(JobId job) {
      return new Cancel(job, Optional.empty());
    }
  }

  /**
   * Asks for the state of a job.
   *
   * @param job the id of the job
   * @param organisation the organisation of the caller; empty if its caller needed no key
   */
  record Show(JobId job, Optional<OrganisationId> organisation) implements CallerRequest {

    /** Returns the request of a caller that needed no key. */
    public static Show withoutOrganisation(JobId job) {
      return new Show(job, Optional.empty());
    }
  }
}
