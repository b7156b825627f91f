package org.hyssopport.testkit.world;

import java.util.Random;

/**
 * Draws the delivery faults of orders that the scheduler sends to workers.
 *
 * @since 0.2
 */
public final class OrderFaults {

  private static final int SHORTEST_DELAY_MILLIS = 2000;

  /** The platform may deliver an order up to 12 s late. */
  private static final int LONGEST_DELAY_MILLIS = 12_000;

  private double lateShare;
  private double lostAnswerShare;
  private boolean lateOrdersOutliveRestart = true;

  /** How an order is delivered. */
  enum Delivery {
    ANSWERED,
    LOST_ANSWER,
    LATE
  }

  /** Sets the share of orders that are carried out 2 to 12 s late and never answered. */
  public void setLateShare(double share) {
    lateShare = share;
  }

  /** Sets the share of orders that are carried out at once and whose answer is lost. */
  public void setLostAnswerShare(double share) {
    lostAnswerShare = share;
  }

  /** Sets whether a late order is carried out even if its worker has restarted meanwhile. */
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
