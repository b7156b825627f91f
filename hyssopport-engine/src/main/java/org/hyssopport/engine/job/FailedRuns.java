package org.hyssopport.engine.job;

import java.util.List;
import java.util.TreeSet;

/**
 * Counts the failed runs of a task, each once, however often and in whatever order their ends are
 * reported.
 *
 * <p>The numbers of the latest ones are remembered. Lower numbers are taken for counted once there
 * are more.
 */
final class FailedRuns {

  /** A worker reports an end again until it is acknowledged; a task has one or two such ends. */
  static final int REMEMBERED_RUNS = 8;

  private final TreeSet<Integer> remembered = new TreeSet<>();
  private int count;

  /** All failed runs up to this number are counted. */
  private int countedUpTo;

  private FailedRuns() {}

  static FailedRuns none() {
    return new FailedRuns();
  }

  /**
   * Returns the failed runs that stored progress describes. That of earlier versions has their
   * count alone: a run without a worker has ended and is counted if it failed.
   */
  static FailedRuns of(TaskProgress progress) {
    FailedRuns restored = new FailedRuns();
    restored.count = progress.failures();
    if (progress.failedRuns().isPresent()) {
      progress.failedRuns().get().forEach(restored::remember);
    } else if (progress.failures() > 0) {
      restored.countedUpTo = progress.worker().isEmpty() ? progress.run() : progress.run() - 1;
    }
    return restored;
  }

  int count() {
    return count;
  }

  /** Returns the remembered numbers, in their order. */
  List<Integer> remembered() {
    return List.copyOf(remembered);
  }

  boolean contains(int runNumber) {
    return runNumber <= countedUpTo || remembered.contains(runNumber);
  }

  void add(int runNumber) {
    if (!contains(runNumber)) {
      count++;
      remember(runNumber);
    }
  }

  private void remember(int runNumber) {
    remembered.add(runNumber);
    if (remembered.size() >= REMEMBERED_RUNS) {
      countedUpTo = Math.max(countedUpTo, remembered.first());
    }
    if (remembered.size() > REMEMBERED_RUNS) {
      remembered.pollFirst();
    }
  }
}
