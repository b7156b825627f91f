package org.hyssopport.engine.platform;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt at a task or request.
 *
 * @param task the id of the task or request
 * @param number the number of the attempt, starting with 1
 * @since 0.1
 */
public record AttemptId(String task, int number) {

  private static final char SEPARATOR = '~';

  /**
   * Parses an id of the form {@code task~number}.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  @JsonCreator
  public static AttemptId parse(String text) {
    int separatorIndex = text.lastIndexOf(SEPARATOR);
    if (separatorIndex <= 0) {
      throw new IllegalArgumentException("attempt id is not of the form task~number: " + text);
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
