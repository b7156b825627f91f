package org.hyssopport.engine.worker;

import java.util.List;

/**
 * A worker's report on its runs, sent in answer to a poll.
 *
 * @param incarnation the worker's incarnation
 * @param clockMillis the reading of the worker's own monotonic clock in milliseconds
 * @param running the runs in progress, including those that are being stopped
 * @param ended the ended runs that have not been acknowledged yet, in the order of their ends
 * @param moreEnds whether further ended runs may follow once these have been acknowledged
 * @since 0.2
 */
public record WorkerRunReport(
    long incarnation,
    long clockMillis,
    List<RunningRun> running,
    List<EndedRun> ended,
    boolean moreEnds) {

  /** Returns a report that lists all runs of the worker, in progress or not acknowledged. */
  public static WorkerRunReport complete(
      long incarnation, long clockMillis, List<RunningRun> running, List<EndedRun> ended) {
    return new WorkerRunReport(incarnation, clockMillis, running, ended, false);
  }

  /**
   * A run in progress.
   *
   * @param run the run
   * @param checkpoint its newest checkpoint, or an empty string
   */
  public record RunningRun(RunId run, String checkpoint) {}

  /**
   * A run that has ended.
   *
   * @param endNumber the number of the end; the first of an incarnation is 1
   * @param run the run
   * @param end how it ended
   * @param checkpoint its newest checkpoint, or an empty string
   */
  public record EndedRun(long endNumber, RunId run, RunEnd end, String checkpoint) {}
}
