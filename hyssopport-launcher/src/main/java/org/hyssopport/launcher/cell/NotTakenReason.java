package org.hyssopport.launcher.cell;

/** Why a member that was sent a request did not take it as the scheduler. */
enum NotTakenReason {
  /** The member leads no term. */
  NOT_LEADING,
  /** The term's queue of events is full. */
  QUEUE_FULL
}
