package org.hyssopport.engine;

/**
 * The rule by which waiting requests share the slots of the workers.
 *
 * @since 0.1
 */
public enum Queueing {
  /**
   * Short and long work wait in separate queues ordered by deadline, some slots are reserved for
   * short work, and batch work is preempted for waiting short work.
   */
  SPLIT {
    @Override
    Lane laneOf(RunTimeEstimate estimate) {
      return estimate.isLong() ? Lane.LONG : Lane.SHORT;
    }
  },
  /**
   * All work waits in one queue in order of arrival, without reserved slots and without preemption.
   */
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
