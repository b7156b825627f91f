package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a worker instance.
 *
 * @param name the name, unique in the cell
 * @since 0.1
 */
public record WorkerId(@JsonValue String name) implements Comparable<WorkerId> {

  /** Creates the value from its printed form. */
  @JsonCreator
  public WorkerId {
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException("worker name must not be blank: " + name);
    }
  }

  @Override
  public int compareTo(WorkerId other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
