package org.hyssopport.engine;

/** Allows retries only as a share of the recent first attempts, so that retries can't pile up. */
final class RetryBudget {

  private static final double MAXIMUM_BALANCE = 100;
  private static final double INITIAL_BALANCE = 10;

  private final double retryShare;
  private double balance = INITIAL_BALANCE;

  private RetryBudget(double retryShare) {
    this.retryShare = retryShare;
  }

  static RetryBudget of(double retryShare) {
    return new RetryBudget(retryShare);
  }

  void recordFirstAttempt() {
    balance = Math.min(MAXIMUM_BALANCE, balance + retryShare);
  }

  /** Takes one retry from the budget, and tells whether there was one. */
  boolean tryConsumeRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
