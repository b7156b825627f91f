package org.hyssopport.engine;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.policy.Finding;

/**
 * What a caller or an operator is told.
 *
 * @since 0.1
 */
public sealed interface Answer {

  /**
   * The outcome of a request.
   *
   * @param requestId the id under which to ask again
   * @param outcome what became of it
   * @param reason why
   * @param body the whole answer of the service
   */
  record RequestAnswer(String requestId, Outcome outcome, Reason reason, Optional<String> body)
      implements Answer {}

  /**
   * A new ticket.
   *
   * @param ticket the ticket
   * @param expiry until when it may be used
   */
  record TicketAnswer(String ticket, Instant expiry) implements Answer {}

  /**
   * A job's state.
   *
   * @param view the state
   */
  record JobAnswer(JobView view) implements Answer {}

  /**
   * Several jobs' states.
   *
   * @param views the states
   */
  record JobsAnswer(List<JobView> views) implements Answer {}

  /**
   * A configuration that is in force.
   *
   * @param version its version
   * @param text its printed form
   */
  record ConfigurationAnswer(long version, String text) implements Answer {}

  /**
   * A change that was made on a version that is not in force.
   *
   * @param base the version that the change was made on
   * @param inForce the version in force
   */
  record StaleBase(long base, long inForce) implements Answer {}

  /**
   * A refused call.
   *
   * @param kind the sort of refusal
   * @param findings every fault with its place
   */
  record Refused(RefusalKind kind, List<Finding> findings) implements Answer {}

  /**
   * The state of this instance.
   *
   * @param view the state
   */
  record StatusAnswer(StatusView view) implements Answer {}

  /** The sorts of refusals. */
  enum RefusalKind {
    /** The input has faults. */
    INVALID,
    /** There is nothing of that name. */
    NOT_FOUND,
    /** It can't be served now. */
    UNAVAILABLE,
    /** It conflicts with what is there. */
    CONFLICT,
    /** The outcome is not known. */
    UNKNOWN_OUTCOME
  }
}
