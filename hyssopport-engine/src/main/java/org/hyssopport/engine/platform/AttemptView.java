package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * The state of one attempt, as its worker knows it.
 *
 * @param attempt the id of the attempt
 * @param phase the phase of the attempt
 * @param resources the resources that the attempt holds while it runs
 * @param kept true for a task that outlives the call that started it, false for a request whose
 *     caller waits
 * @param result how the attempt ended, or empty if it has not
 * @param answer the complete answer, if the attempt has ended and the worker still keeps it
 * @param startedAt when the attempt started, if it did
 * @since 0.1
 */
public record AttemptView(
    AttemptId attempt,
    AttemptPhase phase,
    Resources resources,
    boolean kept,
    Optional<AttemptResult> result,
    Optional<String> answer,
    Optional<Instant> startedAt) {

  /**
   * Returns the view of an attempt that never ran on the worker.
   *
   * @param attempt the id of the attempt
   * @param phase {@link AttemptPhase#FENCED} or {@link AttemptPhase#NEVER_SEEN}
   * @return the view
   */
  public static AttemptView absent(AttemptId attempt, AttemptPhase phase) {
    return new AttemptView(
        attempt,
        phase,
        Resources.NONE,
        false,
        Optional.empty(),
        Optional.empty(),
        Optional.empty());
  }
}
