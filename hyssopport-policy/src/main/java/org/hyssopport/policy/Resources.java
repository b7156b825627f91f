package org.hyssopport.policy;

/**
 * An amount of processors, memory and accelerators.
 *
 * @param milliProcessors thousandths of a processor
 * @param memoryMebibytes memory in MiB
 * @param accelerators whole accelerators
 * @since 0.1
 */
public record Resources(long milliProcessors, long memoryMebibytes, long accelerators) {

  /** No resources at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  private static final long MILLI_PROCESSORS_PER_PROCESSOR = 1000;

  /** Returns an amount of whole processors, MiB of memory and accelerators. */
  public static Resources of(long processors, long memoryMebibytes, long accelerators) {
    return new Resources(
        processors * MILLI_PROCESSORS_PER_PROCESSOR, memoryMebibytes, accelerators);
  }

  /** Returns the sum of this amount and the other. */
  public Resources plus(Resources other) {
    return new Resources(
        milliProcessors + other.milliProcessors,
        memoryMebibytes + other.memoryMebibytes,
        accelerators + other.accelerators);
  }

  /** Returns this amount less the other; parts may become negative. */
  public Resources minus(Resources other) {
    return plus(other.times(-1));
  }

  /** Returns this amount multiplied by a factor. */
  public Resources times(long factor) {
    return new Resources(milliProcessors * factor, memoryMebibytes * factor, accelerators * factor);
  }

  /** Tells whether this amount is within the other in every part. */
  public boolean fitsIn(Resources other) {
    return milliProcessors <= other.milliProcessors
        && memoryMebibytes <= other.memoryMebibytes
        && accelerators <= other.accelerators;
  }

  /** Tells whether any part is negative. */
  public boolean hasNegativePart() {
    return milliProcessors < 0 || memoryMebibytes < 0 || accelerators < 0;
  }

  /**
   * Returns the largest share that any part of this amount takes of the given whole.
   *
   * @param total the whole amount; a part of zero counts as fully taken if this part is positive
   * @return a share, 0 for nothing and 1 for all
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
