package org.hyssopport.testkit.oracle;

import java.util.Optional;

/**
 * What a caller was told at last about one piece of work.
 *
 * @param id the request or task
 * @param guard the ticket or key that allows one run at most; empty for repeatable work
 * @param verdict the outcome
 * @param body the answer that came with it
 * @param rightBody the only right answer, if it is checked
 * @since 0.1
 */
public record Told(
    String id,
    Optional<String> guard,
    Verdict verdict,
    Optional<String> body,
    Optional<String> rightBody) {

  /** The outcomes. */
  public enum Verdict {
    /** It ran to its end. */
    DONE,
    /** It ran and failed. */
    FAILED,
    /** It did not run. */
    NOT_RUN,
    /** It may have run. */
    UNKNOWN
  }
}
