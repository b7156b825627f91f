package org.hyssopport.engine.quota;

import java.util.Optional;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.policy.Resources;

/**
 * What an organisation uses and may use.
 *
 * @param organisation its id
 * @param used what it may have running
 * @param limit the most that it may have running, if that is known
 * @param share the part of the room that it is due when the cell is full, from 0 to 1
 * @since 0.3
 */
public record OrganisationUsage(
    OrganisationId organisation, Resources used, Optional<ResourceLimit> limit, double share) {}
