package org.hyssopport.testkit.oracle;

/**
 * The capacity of a worker.
 *
 * @param worker the worker's name
 * @param milliProcessors processors, in thousandths
 * @param memoryMebibytes memory, in MiB
 * @param accelerators the number of accelerators
 * @param slots the largest number of concurrent runs
 * @since 0.1
 */
public record Capacity(
    String worker, long milliProcessors, long memoryMebibytes, long accelerators, int slots) {}
