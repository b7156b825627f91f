package org.hyssopport.engine;

/** The lanes of work by estimated run time; waiting requests have one queue for each lane. */
enum Lane {
  /** Short work, which may use every slot of a worker. */
  SHORT {
    @Override
    int reservedSlots(EngineSettings settings) {
      return 0;
    }
  },
  /** Long work, which leaves the reserved slots of each worker to short work. */
  LONG {
    @Override
    int reservedSlots(EngineSettings settings) {
      return settings.policies().queueing().reservesSlots() ? settings.reservedSlots() : 0;
    }
  };

  /** Returns the number of slots of each worker that work of this lane must leave free. */
  abstract int reservedSlots(EngineSettings settings);
}
