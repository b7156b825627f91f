package org.hyssopport.engine;

/**
 * What is done about work that fails.
 *
 * @since 0.1
 */
public enum FailureHandling {
  /** Retries within a budget, and no work for workers that fail far more than the others. */
  BUDGETED(true),
  /** Retries without a limit, and no ejection. */
  UNLIMITED(false);

  private final boolean limits;

  FailureHandling(boolean limits) {
    this.limits = limits;
  }

  boolean limitsRetries() {
    return limits;
  }

  boolean ejects() {
    return limits;
  }
}
