package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a worker.
 *
 * @param name the worker's name, which is unique in the cell
 * @since 0.1
 */
public record WorkerId(@JsonValue String name) implements Comparable<WorkerId> {

  /**
   * Creates an id from the worker's name.
   *
   * @throws IllegalArgumentException if the name is null or blank
   */
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
