package org.hyssopport.engine;

/**
 * How the engine reacts to work that fails: with retries and with the ejection of workers.
 *
 * @since 0.1
 */
public enum FailureHandling {
  /** Retries within a budget, and ejects workers that fail far more often than the others. */
  BUDGETED(true),
  /** Retries without a limit, and ejects no worker. */
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
