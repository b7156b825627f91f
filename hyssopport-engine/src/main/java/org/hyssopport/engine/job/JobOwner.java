package org.hyssopport.engine.job;

import java.util.Optional;
import org.hyssopport.engine.organisation.CallerIdentity;
import org.hyssopport.engine.organisation.OrganisationId;

/**
 * The organisation that submitted a job, and whom the job is open to.
 *
 * @param organisation the organisation that submitted the job
 * @param queue the name of the queue that the job was submitted to
 * @since 0.3
 */
public record JobOwner(OrganisationId organisation, String queue) {

  /** Returns the owner of a job; empty if its caller needed no key. */
  public static Optional<JobOwner> of(JobDefinition definition) {
    return definition
        .organisation()
        .map(organisation -> new JobOwner(organisation, definition.queue().name()));
  }

  /**
   * Returns whether a caller may see and cancel a job. Without an owner, the job is open to all; on
   * a public route, callers need no key for the jobs of the route's own queue.
   *
   * @param owner the owner of the job, if it has one
   * @param caller the caller; empty on a cell without organisations
   */
  public static boolean isOpen(Optional<JobOwner> owner, Optional<CallerIdentity> caller) {
    return owner.isEmpty() || caller.isEmpty() || owner.get().permits(caller.get());
  }

  private boolean permits(CallerIdentity caller) {
    return caller
        .organisation()
        .map(organisation::equals)
        .orElseGet(() -> queue.equals(caller.queue()));
  }
}
