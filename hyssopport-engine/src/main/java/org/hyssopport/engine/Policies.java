package org.hyssopport.engine;

/**
 * The exchangeable policies of the engine; each can be compared with simpler alternatives.
 *
 * @param packing how a worker is chosen for a task
 * @param queueing how waiting requests share the slots
 * @param forwarding how a peer is chosen for a request
 * @param failureHandling how failures of work are handled
 * @since 0.1
 */
public record Policies(
    Packing packing, Queueing queueing, Forwarding forwarding, FailureHandling failureHandling) {

  /** Returns the default policies. */
  public static Policies standard() {
    return new Policies(
        Packing.BEST_FIT, Queueing.SPLIT, Forwarding.HEADROOM, FailureHandling.BUDGETED);
  }

  /** Returns a copy of these policies with another packing. */
  public Policies with(Packing other) {
    return new Policies(other, queueing, forwarding, failureHandling);
  }

  /** Returns a copy of these policies with another queueing. */
  public Policies with(Queueing other) {
    return new Policies(packing, other, forwarding, failureHandling);
  }

  /** Returns a copy of these policies with another forwarding. */
  public Policies with(Forwarding other) {
    return new Policies(packing, queueing, other, failureHandling);
  }

  /** Returns a copy of these policies with another handling of failures. */
  public Policies with(FailureHandling other) {
    return new Policies(packing, queueing, forwarding, other);
  }
}
