package org.hyssopport.engine;

/** The state of a worker's lease as this instance sees it. */
enum LeaseState {
  /** Not held here. */
  UNHELD(false),
  /** Asked for; the answer is awaited. */
  ASKING(false),
  /** Held; a report that covers the grant is awaited before anything is placed. */
  SETTLING(true),
  /** Held and in use. */
  ACTIVE(true),
  /** Being given back. */
  RELEASING(false);

  private final boolean held;

  LeaseState(boolean held) {
    this.held = held;
  }

  boolean isHeld() {
    return held;
  }
}
