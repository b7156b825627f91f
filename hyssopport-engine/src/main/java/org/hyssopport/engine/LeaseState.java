package org.hyssopport.engine;

/** The state of the lease on a worker as this instance sees it. */
enum LeaseState {
  /** This instance does not hold the lease. */
  UNHELD(false),
  /** The call to acquire the lease was sent, and its reply is awaited. */
  ASKING(false),
  /** Held, but no work is placed before a report that is as new as the grant has arrived. */
  SETTLING(true),
  /** Held, and work may be placed. */
  ACTIVE(true),
  /** The call to release the lease was sent, and its reply is awaited. */
  RELEASING(false);

  private final boolean held;

  LeaseState(boolean held) {
    this.held = held;
  }

  boolean isHeld() {
    return held;
  }
}
