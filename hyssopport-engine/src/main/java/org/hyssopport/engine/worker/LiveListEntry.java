package org.hyssopport.engine.worker;

/**
 * What is known of a worker's entry in the live list.
 *
 * <p>Entries expire while the store is away, although their workers live. Such a worker keeps its
 * work, and gets more of it once a report proves that it is there.
 */
enum LiveListEntry {
  /** The list contains the worker. */
  PRESENT(true),
  /** The entry expired while the store was away, and the worker has not reported since. */
  LAPSED(false),
  /** The entry expired while the store was away, and the worker has reported since. */
  LAPSED_CONFIRMED(true),
  /** The list does not contain the worker, and it is to be taken as gone. */
  ABSENT(false);

  private final boolean allowsWork;

  LiveListEntry(boolean allowsWork) {
    this.allowsWork = allowsWork;
  }

  /** Returns whether the worker may get new work. */
  boolean allowsWork() {
    return allowsWork;
  }

  /** Returns the entry after the list was found to lack it following an outage of the store. */
  LiveListEntry lapsed() {
    return this == PRESENT ? LAPSED : this;
  }

  /** Returns the entry after a report of the worker. */
  LiveListEntry confirmed() {
    return this == LAPSED ? LAPSED_CONFIRMED : this;
  }
}
