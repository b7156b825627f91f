package org.hyssopport.engine;

import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;

/** A recipient of a request's outcome: a local caller or the peer that forwarded the request. */
sealed interface AnswerRecipient {

  /**
   * A caller of this instance.
   *
   * @param handle identifies the call that waits for its reply
   */
  record Caller(long handle) implements AnswerRecipient {}

  /**
   * A peer that forwarded the request.
   *
   * @param peer the incarnation of the peer that forwarded it
   * @param attempt the peer's attempt, by which it recognises the answer
   */
  record ForwardingPeer(EntryId peer, AttemptId attempt) implements AnswerRecipient {}
}
