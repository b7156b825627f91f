package org.hyssopport.engine.worker;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.job.Step;
import org.hyssopport.policy.Resources;

/**
 * A run that takes room on a worker.
 *
 * @since 0.2
 */
public final class TrackedRun {

  private final RunId id;
  private final Optional<Step> step;
  private final Resources demand;
  private final Instant placedAt;
  private RunPhase phase;
  private Optional<String> ticket = Optional.empty();
  private Optional<Instant> startConfirmedAt = Optional.empty();
  private Optional<Instant> stopConfirmedAt = Optional.empty();
  private int startsSent;
  private Instant lastOrderAt = Instant.MIN;

  private TrackedRun(
      RunId id, Optional<Step> step, Resources demand, RunPhase phase, Instant placedAt) {
    this.id = id;
    this.step = step;
    this.demand = demand;
    this.phase = phase;
    this.placedAt = placedAt;
  }

  /** Returns a run of a known step. */
  public static TrackedRun of(RunId id, Step step, RunPhase phase, Instant now) {
    return new TrackedRun(id, Optional.of(step), step.definition().demand(), phase, now);
  }

  /** Returns a run that no known job asks for; it is taken to fill its worker. */
  public static TrackedRun ofUnknownStep(RunId id, Resources demand, Instant now) {
    return new TrackedRun(id, Optional.empty(), demand, RunPhase.RUNNING, now);
  }

  /** Returns the run. */
  public RunId id() {
    return id;
  }

  /** Returns its step, unless no known job asks for it. */
  public Optional<Step> step() {
    return step;
  }

  /** Returns what it takes. */
  public Resources demand() {
    return demand;
  }

  /** Returns when it was placed. */
  public Instant placedAt() {
    return placedAt;
  }

  /** Returns how far it has got. */
  public RunPhase phase() {
    return phase;
  }

  /** Returns the ticket that its start carries. */
  public Optional<String> ticket() {
    return ticket;
  }

  /** Sets the ticket that its start carries. */
  public void setTicket(Optional<String> newTicket) {
    ticket = newTicket;
  }

  /** Returns when the worker confirmed its start. */
  public Optional<Instant> startConfirmedAt() {
    return startConfirmedAt;
  }

  /** Returns when the worker confirmed its stop. */
  public Optional<Instant> stopConfirmedAt() {
    return stopConfirmedAt;
  }

  /** Returns how many start orders were sent. */
  public int startsSent() {
    return startsSent;
  }

  /** Returns when the last order about it was sent. */
  public Instant lastOrderAt() {
    return lastOrderAt;
  }

  /** Notes that a start order leaves. */
  public void recordStartOrdered(Instant now) {
    phase = RunPhase.ORDERED;
    startsSent++;
    lastOrderAt = now;
  }

  /** Notes that a stop order leaves. */
  public void recordStopOrdered(Instant now) {
    phase = RunPhase.STOPPING;
    lastOrderAt = now;
  }

  /** Notes that the worker runs it. */
  public void recordStartConfirmed(Instant now) {
    if (phase != RunPhase.STOPPING) {
      phase = RunPhase.RUNNING;
    }
    if (startConfirmedAt.isEmpty()) {
      startConfirmedAt = Optional.of(now);
    }
  }

  /** Notes that the worker will not start it any more, or is stopping it. */
  public void recordStopConfirmed(Instant now) {
    stopConfirmedAt = Optional.of(now);
  }

  /**
   * Tells whether a report that was asked for at an instant, and does not list the run, proves that
   * the run is gone for good.
   */
  public boolean isGoneIfUnlisted(Instant pollSentAt) {
    return switch (phase) {
      case STORING, ORDERED -> false;
      case INHERITED -> true;
      case RUNNING -> startConfirmedAt.map(at -> at.isBefore(pollSentAt)).orElse(true);
      case STOPPING -> stopConfirmedAt.map(at -> at.isBefore(pollSentAt)).orElse(false);
    };
  }
}
