package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one stream of the platform's log.
 *
 * @param name the name, unique in the cell
 * @since 0.1
 */
public record StreamName(@JsonValue String name) implements Comparable<StreamName> {

  /** Creates the value from its printed form. */
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
