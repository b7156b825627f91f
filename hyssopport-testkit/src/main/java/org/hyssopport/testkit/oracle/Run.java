package org.hyssopport.testkit.oracle;

import java.time.Instant;

/**
 * A run of a request or task on a worker.
 *
 * @param worker the worker's name
 * @param task the id of the request or task
 * @param payload the payload, which identifies the request or job that it belongs to
 * @param start when the run started
 * @param end when the run ended; far in the future if it has not
 * @param milliProcessors the processors that it used, in thousandths
 * @param memoryMebibytes the memory that it used, in MiB
 * @param accelerators the number of accelerators that it used
 * @param done whether the run ended successfully
 * @since 0.1
 */
public record Run(
    String worker,
    String task,
    String payload,
    Instant start,
    Instant end,
    long milliProcessors,
    long memoryMebibytes,
    long accelerators,
    boolean done) {

  boolean overlaps(Run other) {
    return start.isBefore(other.end) && other.start.isBefore(end);
  }
}
