package org.hyssopport.policy;

/**
 * An amount of processor time, memory and accelerators.
 *
 * @param milliProcessors processors, in thousandths of a processor
 * @param memoryMebibytes memory, in MiB
 * @param accelerators the number of accelerators
 * @since 0.1
 */
public record Resources(long milliProcessors, long memoryMebibytes, long accelerators) {

  /** No resources at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  private static final long MILLI_PROCESSORS_PER_PROCESSOR = 1000;

  /**
   * Returns an amount of resources.
   *
   * @param processors the number of whole processors
   * @param memoryMebibytes memory, in MiB
   * @param accelerators the number of accelerators
   * @return the amount
   */
  public static Resources of(long processors, long memoryMebibytes, long accelerators) {
    return new Resources(
        processors * MILLI_PROCESSORS_PER_PROCESSOR, memoryMebibytes, accelerators);
  }

  /** Returns the sum of this amount and the other one. */
  public Resources plus(Resources other) {
    return new Resources(
        milliProcessors + other.milliProcessors,
        memoryMebibytes + other.memoryMebibytes,
        accelerators + other.accelerators);
  }

  /** Returns this amount minus the other one; parts of the result may be negative. */
  public Resources minus(Resources other) {
    return plus(other.times(-1));
  }

  /** Returns this amount multiplied by a factor. */
  public Resources times(long factor) {
    return new Resources(milliProcessors * factor, memoryMebibytes * factor, accelerators * factor);
  }

  /** Returns whether no part of this amount exceeds that part of the other one. */
  public boolean fitsIn(Resources other) {
    return milliProcessors <= other.milliProcessors
        && memoryMebibytes <= other.memoryMebibytes
        && accelerators <= other.accelerators;
  }

  /** Returns whether any part of this amount is negative. */
  public boolean hasNegativePart() {
    return milliProcessors < 0 || memoryMebibytes < 0 || accelerators < 0;
  }

  /**
   * Returns the dominant share: the largest of the shares that the parts of this amount take of the
   * parts of a total.
   *
   * @param total the total; a part of zero counts as fully taken if that part of this amount is
   *     positive
   * @return the share, from 0 for nothing to 1 for all of a resource; above 1 if it exceeds the
   *     total
   */
  public double dominantShareOf(Resources total) {
    double processorShare = share(milliProcessors, total.milliProcessors);
    double memoryShare = share(memoryMebibytes, total.memoryMebibytes);
    double acceleratorShare = share(accelerators, total.accelerators);
    return Math.max(processorShare, Math.max(memoryShare, acceleratorShare));
  }

  private static double share(long part, long total) {
    if (part <= 0) {
      return 0;
    }
    return total <= 0 ? 1 : (double) part / total;
  }
}
