package org.hyssopport.engine;

/**
 * The reason for an outcome, with a text for the caller.
 *
 * @since 0.1
 */
public enum Reason {
  /** The work ran to its end, so there is no further reason. */
  COMPLETED("the work ran to its end"),
  /** The work ran and reported a failure. */
  WORK_FAILED("the work ran and reported a failure"),
  /** No worker could run the work before its deadline. */
  NO_CAPACITY_IN_TIME("no worker could run it before its deadline"),
  /** The deadline had already passed on arrival. */
  DEADLINE_PASSED("the deadline had already passed"),
  /** Too many requests are waiting. */
  OVERLOADED("too many requests are waiting; try again later"),
  /** This instance is draining. */
  DRAINING("this instance is leaving; another one will take the request"),
  /** This instance has no configuration yet. */
  NOT_READY("this instance has no configuration yet"),
  /** The answer of a worker or a peer was lost. */
  ANSWER_LOST("the answer was lost before the deadline; ask again by the request id"),
  /** The instance that issued the ticket or the request id can't be reached. */
  ISSUER_UNREACHABLE("the instance that issued the ticket can't be reached"),
  /** The ticket was never issued, has expired, or was used and its outcome is no longer known. */
  TICKET_INVALID("the ticket was not issued or has expired"),
  /** The key was claimed by an earlier request whose end is not known yet. */
  KEY_IN_USE("the key was claimed by an earlier request whose end is not known yet"),
  /** The key was used by an earlier request that has ended; its outcome is reported. */
  KEY_USED("the key was used before; this is the outcome of that request"),
  /** The key has expired. */
  KEY_EXPIRED("the key has expired, so what became of it is not known any more"),
  /** The log can't be written. */
  LOG_UNAVAILABLE("the log can't be written now, so nothing was started"),
  /** The log did not confirm a record in time. */
  LOG_ANSWER_LOST("the log did not confirm in time; ask again by the id"),
  /** A caller cancelled the work. */
  CANCELLED("the work was cancelled before it ran"),
  /** Every allowed attempt failed or was lost. */
  ATTEMPTS_USED_UP("every allowed attempt failed or was lost"),
  /** The work has not ended yet. */
  UNFINISHED("the work has not ended yet");

  private final String text;

  Reason(String text) {
    this.text = text;
  }

  /** Returns the text for the caller. */
  public String text() {
    return text;
  }
}
