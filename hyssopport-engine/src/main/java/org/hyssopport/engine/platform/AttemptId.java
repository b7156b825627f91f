package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt at one task or request.
 *
 * @param task the task or request
 * @param number the attempt, counted from 1
 * @since 0.1
 */
public record AttemptId(String task, int number) {

  private static final char SEPARATOR = '~';

  /** Parses the printed form {@code task~number}. */
  @JsonCreator
  public static AttemptId parse(String text) {
    int separatorIndex = text.lastIndexOf(SEPARATOR);
    if (separatorIndex <= 0) {
      throw new IllegalArgumentException("attempt id must be task~number: " + text);
    }
    return new AttemptId(
        text.substring(0, separatorIndex), Integer.parseInt(text.substring(separatorIndex + 1)));
  }

  @JsonValue
  @Override
  public String toString() {
    return task + SEPARATOR + number;
  }
}
