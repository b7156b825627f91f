package org.hyssopport.engine;

/** Limits retries to a share of the recent first attempts, so that retries can't accumulate. */
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

  /**
   * Takes one retry from the budget.
   *
   * @return false if the budget is used up
   */
  boolean tryConsumeRetry() {
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }
}
