package org.hyssopport.engine.job;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Optional;

/**
 * Identifies a job; chosen by the caller that submits it.
 *
 * @param text sixteen hexadecimal digits
 * @since 0.2
 */
public record JobId(@JsonValue String text) implements Comparable<JobId> {

  private static final int DIGITS = 16;

  /** Creates the id from its text form. */
  @JsonCreator
  public JobId {
    if (!isValid(text)) {
      throw new IllegalArgumentException("job id must have 16 hexadecimal digits, but was " + text);
    }
  }

  /** Returns the id, or empty if the text is not a valid one. */
  public static Optional<JobId> parse(String text) {
    return isValid(text) ? Optional.of(new JobId(text)) : Optional.empty();
  }

  private static boolean isValid(String text) {
    if (text == null || text.length() != DIGITS) {
      return false;
    }
    return text.chars().allMatch(digit -> Character.digit(digit, 16) >= 0);
  }

  @Override
  public int compareTo(JobId other) {
    return text.compareTo(other.text);
  }

  @Override
  public String toString() {
    return text;
  }
}
