package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A failure domain: instances that are lost or cut off together.
 *
 * @param name the name, unique in the cell
 * @since 0.1
 */
public record FailureDomain(@JsonValue String name) implements Comparable<FailureDomain> {

  /** Creates the value from its printed form. */
  @JsonCreator
  public FailureDomain {
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException("failure domain name must not be blank: " + name);
    }
  }

  @Override
  public int compareTo(FailureDomain other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
