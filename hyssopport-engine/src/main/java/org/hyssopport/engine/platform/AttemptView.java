package org.hyssopport.engine.platform;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * A worker's view of one attempt.
 *
 * @param attempt the attempt
 * @param phase what became of it so far
 * @param resources what it holds while it runs
 * @param kept whether it is a task that outlives the call that started it
 * @param result how it ended, if it did
 * @param answer the whole answer, if it ended and is still kept
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

  /** Returns the view of an attempt that the worker never saw or fenced. */
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
