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

  private double lateShare;
  private double lostAnswerShare;
  private boolean lateOrdersOutliveRestart = true;

  /** What becomes of an order. */
  enum Delivery {
    ANSWERED,
    LOST_ANSWER,
    LATE
  }

  /** Sets the share of orders that are carried out seconds later and not answered. */
  public void setLateShare(double share) {
    lateShare = share;
  }

  /** Sets the share of orders that are carried out and not answered. */
  public void setLostAnswerShare(double share) {
    lostAnswerShare = share;
  }

  /** Sets whether late orders are carried out by a later incarnation of their worker too. */
  public void setLateOrdersOutliveRestart(boolean outlive) {
    lateOrdersOutliveRestart = outlive;
  }

  boolean lateOrdersOutliveRestart() {
    return lateOrdersOutliveRestart;
  }

  Delivery drawDelivery(Random random) {
    double drawn = random.nextDouble();
    if (drawn < lateShare) {
      return Delivery.LATE;
    }
    return drawn < lateShare + lostAnswerShare ? Delivery.LOST_ANSWER : Delivery.ANSWERED;
  }

  long drawDelayMillis(Random random) {
    return random.nextInt(SHORTEST_DELAY_MILLIS, LONGEST_DELAY_MILLIS);
  }
}
