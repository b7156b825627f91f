package org.hyssopport.engine;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.policy.Finding;

/**
 * The answer to a call from a caller or an operator.
 *
 * @since 0.1
 */
public sealed interface Answer {

  /**
   * The outcome of a request.
   *
   * @param requestId the id by which the outcome can be queried again
   * @param outcome whether the request ran and how it ended
   * @param reason the reason for the outcome
   * @param body the complete answer of the service, if there is one
   */
  record RequestAnswer(String requestId, Outcome outcome, Reason reason, Optional<String> body)
      implements Answer {}

  /**
   * A newly issued ticket.
   *
   * @param ticket the ticket
   * @param expiry when the ticket expires
   */
  record TicketAnswer(String ticket, Instant expiry) implements Answer {}

  /**
   * The state of a job.
   *
   * @param view the job's state
   */
  record JobAnswer(JobView view) implements Answer {}

  /**
   * The states of several jobs.
   *
   * @param views one state for each job
   */
  record JobsAnswer(List<JobView> views) implements Answer {}

  /**
   * The configuration in force.
   *
   * @param version the version of the configuration
   * @param text the configuration as JSON
   */
  record ConfigurationAnswer(long version, String text) implements Answer {}

  /**
   * The rejection of a configuration change whose base is not the version in force.
   *
   * @param base the version on which the change was made
   * @param inForce the version in force
   */
  record StaleBase(long base, long inForce) implements Answer {}

  /**
   * A refused call.
   *
   * @param kind the kind of refusal
   * @param findings all faults found, each with the field that it concerns
   */
  record Refused(RefusalKind kind, List<Finding> findings) implements Answer {}

  /**
   * The state of this instance.
   *
   * @param view the instance's state
   */
  record StatusAnswer(StatusView view) implements Answer {}

  /** The kinds of refusal. */
  enum RefusalKind {
    /** The input is invalid. */
    INVALID,
    /** Nothing is known under the given name or id. */
    NOT_FOUND,
    /** The call can't be served now. */
    UNAVAILABLE,
    /** The call conflicts with existing state, such as a job of the same id. */
    CONFLICT,
    /** Whether the call took effect is not known. */
    UNKNOWN_OUTCOME
  }
}
