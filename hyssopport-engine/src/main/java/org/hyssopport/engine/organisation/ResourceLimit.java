package org.hyssopport.engine.organisation;

import org.hyssopport.policy.Resources;

/**
 * The most that an organisation may have running on all workers together.
 *
 * @param milliProcessors processors, in thousandths of a processor; 0 for no limit
 * @param memoryMebibytes memory, in MiB; 0 for no limit
 * @param accelerators the number of accelerators; 0 for no limit
 * @since 0.3
 */
public record ResourceLimit(long milliProcessors, long memoryMebibytes, long accelerators) {

  /** No limit on any resource. */
  public static final ResourceLimit NONE = new ResourceLimit(0, 0, 0);

  /** Creates a limit; no part may be negative. */
  public ResourceLimit {
    if (milliProcessors < 0 || memoryMebibytes < 0 || accelerators < 0) {
      throw new IllegalArgumentException("a limit must not be negative");
    }
  }

  /** Returns whether the amount exceeds no part of the limit. */
  public boolean permits(Resources amount) {
    return isWithin(amount.milliProcessors(), milliProcessors)
        && isWithin(amount.memoryMebibytes(), memoryMebibytes)
        && isWithin(amount.accelerators(), accelerators);
  }

  private static boolean isWithin(long amount, long limit) {
    return limit == 0 || amount <= limit;
  }
}
