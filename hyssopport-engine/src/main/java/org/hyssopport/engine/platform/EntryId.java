package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one incarnation of an entry instance.
 *
 * @param name the instance's name in the live list
 * @param incarnation the id of the process run, different after every start
 * @since 0.1
 */
public record EntryId(String name, String incarnation) implements Comparable<EntryId> {

  private static final char SEPARATOR = '@';

  /**
   * Parses an id of the form {@code name@incarnation}.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  @JsonCreator
  public static EntryId parse(String text) {
    int separatorIndex = text.lastIndexOf(SEPARATOR);
    if (separatorIndex <= 0 || separatorIndex == text.length() - 1) {
      throw new IllegalArgumentException("entry id is not of the form name@incarnation: " + text);
    }
    return new EntryId(text.substring(0, separatorIndex), text.substring(separatorIndex + 1));
  }

  @Override
  public int compareTo(EntryId other) {
    return toString().compareTo(other.toString());
  }

  @JsonValue
  @Override
  public String toString() {
    return name + SEPARATOR + incarnation;
  }
}
