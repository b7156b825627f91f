package org.hyssopport.engine.organisation;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an organisation.
 *
 * @param name its name in the configuration
 * @since 0.3
 */
public record OrganisationId(@JsonValue String name) implements Comparable<OrganisationId> {

  /** Creates the id from the organisation's name. */
  @JsonCreator
  public OrganisationId {
    if (name == null || name.isEmpty()) {
      throw new IllegalArgumentException("name of an organisation must not be empty");
    }
  }

  @Override
  public int compareTo(OrganisationId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
