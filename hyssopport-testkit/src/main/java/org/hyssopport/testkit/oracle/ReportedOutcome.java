package org.hyssopport.testkit.oracle;

import java.util.Optional;

/**
 * What a caller was told at last about one piece of work.
 *
 * @param payload the payload, which no other piece of work has
 * @param guarantee how often it may run
 * @param verdict the outcome
 * @param body the answer that came with it
 * @param expectedBody the only right answer, if it is checked
 * @since 0.1
 */
public record ReportedOutcome(
    String payload,
    ExecutionGuarantee guarantee,
    Verdict verdict,
    Optional<String> body,
    Optional<String> expectedBody) {

  /** How often work may run. */
  public enum ExecutionGuarantee {
    /** Running it twice does no harm. */
    REPEATABLE,
    /** It runs once at most, however often it is sent. */
    AT_MOST_ONCE,
    /** Each of its tasks runs in one place at a time. */
    JOB,
    /** A job whose tasks also run all together. */
    GANG_JOB
  }

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
