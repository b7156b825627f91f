package org.hyssopport.testkit.oracle;

import java.util.Optional;

/**
 * The last outcome that a caller was given for a request or job.
 *
 * @param payload the payload, which identifies the request or job; copies of one request share it
 * @param guarantee how often the work may run
 * @param verdict the reported outcome
 * @param body the answer that came with it
 * @param expectedBody the only correct answer, if the answer is to be checked
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
    /** The work may run more than once. */
    REPEATABLE,
    /** The work runs at most once, however often it is sent. */
    AT_MOST_ONCE,
    /** The work is a job, each of whose tasks runs on one worker at a time. */
    JOB,
    /** The work is a job whose tasks must in addition all run at the same time. */
    GANG_JOB
  }

  /** The outcomes that can be reported. */
  public enum Verdict {
    /** The work ended successfully. */
    DONE,
    /** The work ran and failed. */
    FAILED,
    /** The work did not run and never will. */
    NOT_RUN,
    /** Whether the work ran is not known. */
    UNKNOWN
  }
}
