package org.hyssopport.engine.organisation;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The organisations of one version of the configuration.
 *
 * @since 0.3
 */
public final class OrganisationDirectory {

  private final Map<OrganisationId, Organisation> byId = new HashMap<>();
  private final Map<ApiKeyDigest, Organisation> byKey = new HashMap<>();

  private OrganisationDirectory(List<Organisation> organisations) {
    for (Organisation organisation : organisations) {
      byId.put(organisation.id(), organisation);
      organisation.apiKeys().forEach(key -> byKey.put(key, organisation));
    }
  }

  /** Returns the directory of the given organisations. */
  public static OrganisationDirectory of(List<Organisation> organisations) {
    return new OrganisationDirectory(organisations);
  }

  /** Returns all organisations, in no particular order. */
  public Collection<Organisation> all() {
    return List.copyOf(byId.values());
  }

  /** Returns the organisation with the given id, if there is one. */
  public Optional<Organisation> find(OrganisationId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the organisation that the key belongs to, if there is one. */
  public Optional<Organisation> findByKey(ApiKeyDigest key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
