package org.hyssopport.engine;

/** The queues by estimated run time. */
enum Lane {
  /** Work that may use every slot. */
  SHORT {
    @Override
    int reservedSlots(EngineSettings settings) {
      return 0;
    }
  },
  /** Work that leaves some slots of each worker to short work. */
  LONG {
    @Override
    int reservedSlots(EngineSettings settings) {
      return settings.policies().queueing().reservesSlots() ? settings.reservedSlots() : 0;
    }
  };

  abstract int reservedSlots(EngineSettings settings);
}
