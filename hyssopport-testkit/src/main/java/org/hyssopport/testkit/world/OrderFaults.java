package org.hyssopport.testkit.world;

import java.util.Random;

/**
 * What goes wrong with orders to workers.
 *
 * @since 0.2
 */
public final class OrderFaults {

  private static final int SHORTEST_DELAY_MILLIS = 2000;
  private static final int LONGEST_DELAY_MILLIS = 12_000;

  private double late;
  private double lostAnswers;
  private boolean outliveWorkers = true;

  /** What becomes of an order. */
  enum Delivery {
    ANSWERED,
    LOST_ANSWER,
    LATE
  }

  /** Sets the share of orders that are carried out seconds later and not answered. */
  public void setLate(double share) {
    late = share;
  }

  /** Sets the share of orders that are carried out and not answered. */
  public void setLostAnswers(double share) {
    lostAnswers = share;
  }

  /** Sets whether late orders are carried out by a later incarnation of their worker too. */
  public void setOutliveWorkers(boolean outlive) {
    outliveWorkers = outlive;
  }

  boolean outliveWorkers() {
    return outliveWorkers;
  }

  Delivery next(Random random) {
    double drawn = random.nextDouble();
    if (drawn < late) {
      return Delivery.LATE;
    }
    return drawn < late + lostAnswers ? Delivery.LOST_ANSWER : Delivery.ANSWERED;
  }

  long lateMillis(Random random) {
    return random.nextInt(SHORTEST_DELAY_MILLIS, LONGEST_DELAY_MILLIS);
  }
}
