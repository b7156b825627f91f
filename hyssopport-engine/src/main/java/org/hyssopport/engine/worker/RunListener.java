package org.hyssopport.engine.worker;

/**
 * Is told of every run that begins or ceases to count on a tracked worker.
 *
 * @since 0.3
 */
public interface RunListener {

  /** Ignores all runs. */
  RunListener NONE =
      new RunListener() {
        @Override
        public void onRunAdded(TrackedRun run) {
          // Nothing is counted.
        }

        @Override
        public void onRunRemoved(TrackedRun run) {
          // Nothing is counted.
        }
      };

  /** Handles a run that was added to a worker. */
  void onRunAdded(TrackedRun run);

  /** Handles a run that was removed from a worker. */
  void onRunRemoved(TrackedRun run);
}
