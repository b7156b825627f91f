package org.hyssopport.engine.organisation;

import java.util.Optional;

/**
 * Who calls, on a cell with organisations.
 *
 * @param organisation the organisation whose key the caller has shown; empty if the call's route is
 *     public and the call has no known key
 * @param queue the name of the queue that the call's route leads to
 * @since 0.3
 */
public record CallerIdentity(Optional<OrganisationId> organisation, String queue) {}
