package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one run of an entry instance: its name and the incarnation that a restart changes.
 *
 * @param name the name in the live list
 * @param incarnation differs for every start of the process
 * @since 0.1
 */
public record EntryId(String name, String incarnation) implements Comparable<EntryId> {

  private static final char SEPARATOR = '@';

  /** Parses the printed form {@code name@incarnation}. */
  @JsonCreator
  public static EntryId parse(String text) {
    int separatorIndex = text.lastIndexOf(SEPARATOR);
    if (separatorIndex <= 0 || separatorIndex == text.length() - 1) {
      throw new IllegalArgumentException("entry id must be name@incarnation: " + text);
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
