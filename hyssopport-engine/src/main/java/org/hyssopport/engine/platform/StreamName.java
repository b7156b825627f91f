package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a stream of the platform's log.
 *
 * @param name the name, which is unique in the cell
 * @since 0.1
 */
public record StreamName(@JsonValue String name) implements Comparable<StreamName> {

  /**
   * Creates a stream name from its text.
   *
   * @throws IllegalArgumentException if the name is null or blank
   */
  @JsonCreator
  public StreamName {
    if (name == null || name.isBlank()) {
      throw new IllegalArgumentException("stream name must not be blank: " + name);
    }
  }

  @Override
  public int compareTo(StreamName other) {
    return name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return name;
  }
}
