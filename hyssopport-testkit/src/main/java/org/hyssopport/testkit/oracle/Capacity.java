package org.hyssopport.testkit.oracle;

/**
 * What one worker can hold.
 *
 * @param worker the worker
 * @param milliProcessors thousandths of a processor
 * @param memoryMebibytes MiB
 * @param accelerators accelerators
 * @param slots runs at once
 * @since 0.1
 */
public record Capacity(
    String worker, long milliProcessors, long memoryMebibytes, long accelerators, int slots) {}
