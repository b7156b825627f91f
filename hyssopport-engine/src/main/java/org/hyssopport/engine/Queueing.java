package org.hyssopport.engine;

/**
 * How waiting requests share the slots.
 *
 * @since 0.1
 */
public enum Queueing {
  /** Short and long work wait apart, and some slots take short work only. */
  SPLIT {
    @Override
    Lane laneOf(RunTimeEstimate estimate) {
      return estimate.isLong() ? Lane.LONG : Lane.SHORT;
    }
  },
  /** All work waits in one queue in the order of its arrival. */
  SHARED {
    @Override
    Lane laneOf(RunTimeEstimate estimate) {
      return Lane.SHORT;
    }

    @Override
    boolean reservesSlots() {
      return false;
    }

    @Override
    boolean preempts() {
      return false;
    }

    @Override
    boolean ordersByArrival() {
      return true;
    }
  };

  abstract Lane laneOf(RunTimeEstimate estimate);

  boolean reservesSlots() {
    return true;
  }

  boolean preempts() {
    return true;
  }

  boolean ordersByArrival() {
    return false;
  }
}
