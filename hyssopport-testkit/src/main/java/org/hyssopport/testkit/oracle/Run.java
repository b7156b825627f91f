package org.hyssopport.testkit.oracle;

import java.time.Instant;

/**
 * One run on a worker.
 *
 * @param worker the worker
 * @param task the request or task
 * @param payload the payload
 * @param start when it started
 * @param end when it ended; far in the future if it has not
 * @param milliProcessors thousandths of a processor that it held
 * @param memoryMebibytes MiB that it held
 * @param accelerators accelerators that it held
 * @param done whether it ran to its end
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
