package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A failure domain, whose instances may fail or be cut off from the network together.
 *
 * @param name the name, which is unique in the cell
 * @since 0.1
 */
public record FailureDomain(@JsonValue String name) implements Comparable<FailureDomain> {

  /**
   * Creates a failure domain from its name.
   *
   * @throws IllegalArgumentException if the name is null or blank
   */
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
