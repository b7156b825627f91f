package org.hyssopport.engine;

import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;

/** Someone who waits for a request's outcome. */
sealed interface AnswerRecipient {

  /**
   * A caller of this instance.
   *
   * @param handle names the waiting caller
   */
  record Caller(long handle) implements AnswerRecipient {}

  /**
   * A peer that passed the request on.
   *
   * @param peer the peer
   * @param attempt the peer's attempt
   */
  record ForwardingPeer(EntryId peer, AttemptId attempt) implements AnswerRecipient {}
}
