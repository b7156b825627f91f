package org.hyssopport.engine;

/**
 * Why work has its outcome, in words for the caller.
 *
 * @since 0.1
 */
public enum Reason {
  /** No particular reason. */
  COMPLETED("the work ran to its end"),
  /** The work itself failed. */
  WORK_FAILED("the work ran and reported a failure"),
  /** No worker was free in time. */
  NO_CAPACITY_IN_TIME("no worker could run it before its deadline"),
  /** The deadline had passed on arrival. */
  DEADLINE_PASSED("the deadline had already passed"),
  /** Too many requests wait. */
  OVERLOADED("too many requests are waiting; try again later"),
  /** This instance is leaving. */
  DRAINING("this instance is leaving; another one will take the request"),
  /** No configuration is known yet. */
  NOT_READY("this instance has no configuration yet"),
  /** The answer of a worker or a peer was lost. */
  ANSWER_LOST("the answer was lost before the deadline; ask again by the request id"),
  /** The issuer of a ticket can't be reached. */
  ISSUER_UNREACHABLE("the instance that issued the ticket can't be reached"),
  /** The ticket was never issued or is too old. */
  TICKET_INVALID("the ticket was not issued or has expired"),
  /** The key was used and its run is still open. */
  KEY_IN_USE("the key was claimed by an earlier request whose end is not known yet"),
  /** The key was used and its run has ended. */
  KEY_USED("the key was used before; this is the outcome of that request"),
  /** The key's expiry has passed. */
  KEY_EXPIRED("the key has expired, so what became of it is not known any more"),
  /** The log can't be written. */
  LOG_UNAVAILABLE("the log can't be written now, so nothing was started"),
  /** The log's answer was lost. */
  LOG_ANSWER_LOST("the log did not confirm in time; ask again by the id"),
  /** The caller cancelled. */
  CANCELLED("the work was cancelled before it ran"),
  /** Every allowed attempt failed. */
  ATTEMPTS_USED_UP("every allowed attempt failed or was lost"),
  /** The work still waits or runs. */
  UNFINISHED("the work has not ended yet");

  private final String text;

  Reason(String text) {
    this.text = text;
  }

  /** Returns the reason in words. */
  public String text() {
    return text;
  }
}
