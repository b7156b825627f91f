package org.hyssopport.engine.scheduler;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.organisation.CallerIdentity;

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

  /** Returns who calls; empty if it is not known, as on a cell without organisations. */
  Optional<CallerIdentity> caller();

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

    @Override
    public Optional<CallerIdentity> caller() {
      return Optional.of(new CallerIdentity(definition.organisation(), definition.queue().name()));
    }
  }

  /**
   * Cancels a job.
   *
   * @param job the id of the job
   * @param caller who calls; empty on a cell without organisations, and in requests that a member
   *     of an earlier version forwards
   */
  record Cancel(JobId job, Optional<CallerIdentity> caller) implements CallerRequest {

    /** Returns the request of a caller on a cell without organisations. */
    public static Cancel withoutOrganisation(JobId job) {
      return new Cancel(job, Optional.empty());
    }
  }

  /**
   * Asks for the state of a job.
   *
   * @param job the id of the job
   * @param caller who calls; empty on a cell without organisations, and in requests that a member
   *     of an earlier version forwards
   */
  record Show(JobId job, Optional<CallerIdentity> caller) implements CallerRequest {

    /** Returns the request of a caller on a cell without organisations. */
    public static Show withoutOrganisation(JobId job) {
      return new Show(job, Optional.empty());
    }
  }
}
