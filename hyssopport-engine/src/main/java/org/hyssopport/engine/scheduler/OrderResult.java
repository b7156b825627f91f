package org.hyssopport.engine.scheduler;

/**
 * The result of an order to start or stop a run.
 *
 * @since 0.2
 */
public enum OrderResult {
  /** The order was carried out, now or by an earlier delivery. */
  DONE,
  /** The worker has accepted a scheduler of a newer term. */
  FENCED,
  /** The worker has already ended or stopped this run of the task or a later one. */
  OLD_RUN,
  /** The lease in the order had expired. */
  TOO_LATE,
  /** The run does not fit in the worker's free resources. */
  NO_ROOM,
  /** The ticket is not valid. */
  NO_TICKET,
  /** Another incarnation answers at that address. */
  OTHER_INCARNATION,
  /** The worker refused the order because it is unhealthy; nothing was done. */
  UNHEALTHY,
  /** The worker rejected the order as malformed or for a cause that is not listed here. */
  INVALID,
  /**
   * The ticket had run out, or would have before the order's arrival, so the order was never sent.
   */
  TICKET_EXPIRED,
  /** No connection was established, so the order was never sent. */
  NOT_SENT,
  /** No answer arrived; the order may have been carried out or may still be. */
  UNANSWERED;

  /** Returns whether the worker itself answered. */
  public boolean isAnswer() {
    return this != NOT_SENT && this != UNANSWERED && this != TICKET_EXPIRED;
  }

  /** Returns whether the worker was called; otherwise the result says nothing of it. */
  public boolean isFromCall() {
    return this != TICKET_EXPIRED;
  }
}
