package org.hyssopport.engine.organisation;

import java.util.Set;

/**
 * An organisation that shares the cell.
 *
 * @param id its id
 * @param weight its share when the cell is full, relative to the weights of the others; at least 1
 * @param limit the most that it may have running
 * @param apiKeys the digests of the keys that its callers present
 * @since 0.3
 */
public record Organisation(
    OrganisationId id, long weight, ResourceLimit limit, Set<ApiKeyDigest> apiKeys) {}
