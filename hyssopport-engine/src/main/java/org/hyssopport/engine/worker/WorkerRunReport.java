package org.hyssopport.engine.worker;

import java.util.List;

/**
 * What a worker says of its runs.
 *
 * @param incarnation the worker's incarnation
 * @param clockMillis the worker's own steady clock
 * @param running what runs, also what is being stopped
 * @param ended the ends that were not acknowledged yet, in order
 * @since 0.2
 */
public record WorkerRunReport(
    long incarnation, long clockMillis, List<RunningRun> running, List<EndedRun> ended) {

  /**
   * A run that goes on.
   *
   * @param run the run
   * @param checkpoint its newest checkpoint, or an empty text
   */
  public record RunningRun(RunId run, String checkpoint) {}

  /**
   * A run that has ended.
   *
   * @param number the number of the end; the first of an incarnation is 1
   * @param run the run
   * @param end how it ended
   * @param checkpoint its newest checkpoint, or an empty text
   */
  public record EndedRun(long number, RunId run, RunEnd end, String checkpoint) {}
}
