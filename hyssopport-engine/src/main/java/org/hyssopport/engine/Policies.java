package org.hyssopport.engine;

/**
 * The policies that can be exchanged for plain ones, so that each can be measured against them.
 *
 * @param packing how workers are chosen for tasks
 * @param queueing how waiting requests share the slots
 * @param forwarding how a peer is chosen for a request
 * @param failureHandling what is done about failures
 * @since 0.1
 */
public record Policies(
    Packing packing, Queueing queueing, Forwarding forwarding, FailureHandling failureHandling) {

  /** Returns the policies that hold unless others are stated. */
  public static Policies standard() {
    return new Policies(
        Packing.BEST_FIT, Queueing.SPLIT, Forwarding.HEADROOM, FailureHandling.BUDGETED);
  }

  /** Returns these policies with another packing. */
  public Policies with(Packing other) {
    return new Policies(other, queueing, forwarding, failureHandling);
  }

  /** Returns these policies with another queueing. */
  public Policies with(Queueing other) {
    return new Policies(packing, other, forwarding, failureHandling);
  }

  /** Returns these policies with another forwarding. */
  public Policies with(Forwarding other) {
    return new Policies(packing, queueing, other, failureHandling);
  }

  /** Returns these policies with another handling of failures. */
  public Policies with(FailureHandling other) {
    return new Policies(packing, queueing, forwarding, other);
  }
}
