package org.hyssopport.engine.worker;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.Step;
import org.hyssopport.policy.Resources;

/**
 * A run that occupies resources on a worker, as tracked by the scheduler.
 *
 * @since 0.2
 */
public final class TrackedRun {

  private final RunId id;
  private final Optional<Step> step;
  private final Resources demand;
  private final Instant placedAt;
  private RunPhase phase;
  private Optional<Ticket> ticket = Optional.empty();
  private Optional<Instant> startConfirmedAt = Optional.empty();
  private Optional<Instant> stopConfirmedAt = Optional.empty();
  private int startsSent;
  private boolean startInFlight;
  private Optional<Long> workerClockWhenOrdered = Optional.empty();
  private Instant lastOrderAt = Instant.MIN;
  private Optional<Instant> reportNeededSince = Optional.empty();

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

  /**
   * Returns a run that belongs to no known step.
   *
   * @param id the run
   * @param demand the resources to reserve for it: the worker's whole capacity, as the true demand
   *     is unknown
   * @param now the reading of the local monotonic clock
   * @return the run, which the worker has reported as running
   */
  public static TrackedRun ofUnknownStep(RunId id, Resources demand, Instant now) {
    return new TrackedRun(id, Optional.empty(), demand, RunPhase.RUNNING, now);
  }

  /** Returns the id of the run. */
  public RunId id() {
    return id;
  }

  /** Returns the step that the run belongs to, or empty if no known job has it. */
  public Optional<Step> step() {
    return step;
  }

  /** Returns the resources that it occupies. */
  public Resources demand() {
    return demand;
  }

  /** Returns when the run was placed on its worker. */
  public Instant placedAt() {
    return placedAt;
  }

  /** Returns its phase. */
  public RunPhase phase() {
    return phase;
  }

  /** Returns the advice ticket that its start order carries, if one is needed. */
  public Optional<Ticket> ticket() {
    return ticket;
  }

  /** Sets the advice ticket that its start order carries. */
  public void setTicket(Optional<Ticket> newTicket) {
    ticket = newTicket;
  }

  /** Returns whether the service runs the queue of its task now. */
  public boolean isOfService(String service) {
    return step.filter(each -> each.job().queue().service().equals(service)).isPresent();
  }

  /** Returns whether its start order would carry a ticket that has expired. */
  public boolean isTicketExpired(Instant now) {
    return ticket.filter(held -> !now.isBefore(held.expiresAt())).isPresent();
  }

  /** Returns when the worker first confirmed the start, if it has. */
  public Optional<Instant> startConfirmedAt() {
    return startConfirmedAt;
  }

  /** Returns when the worker last confirmed the stop, if it has. */
  public Optional<Instant> stopConfirmedAt() {
    return stopConfirmedAt;
  }

  /** Returns how many start orders have been sent. */
  public int startsSent() {
    return startsSent;
  }

  /** Returns when the last start or stop order was sent. */
  public Instant lastOrderAt() {
    return lastOrderAt;
  }

  /**
   * Returns when a start order got no answer, if the worker has to report before the next one is
   * sent.
   */
  public Optional<Instant> reportNeededSince() {
    return reportNeededSince;
  }

  /** Records that the worker has to report before the next start order is sent. */
  public void recordReportNeeded(Instant now) {
    reportNeededSince = Optional.of(now);
  }

  /**
   * Returns the last reading of the worker's clock in milliseconds that was known when the last
   * order was sent.
   */
  public Optional<Long> workerClockWhenOrdered() {
    return workerClockWhenOrdered;
  }

  /** Returns whether the result of a start order is awaited. */
  public boolean isStartInFlight() {
    return startInFlight;
  }

  /** Records that the result of the start order in flight is known; it may be no answer. */
  public void recordStartResult() {
    startInFlight = false;
  }

  /**
   * Records that a start order is being sent, with the last known reading of the worker's clock.
   */
  public void recordStartOrdered(Instant now, Optional<Long> workerClockMillis) {
    phase = RunPhase.ORDERED;
    reportNeededSince = Optional.empty();
    startsSent++;
    startInFlight = true;
    workerClockWhenOrdered = workerClockMillis;
    lastOrderAt = now;
  }

  /** Records that a stop order is being sent, with the last known reading of the worker's clock. */
  public void recordStopOrdered(Instant now, Optional<Long> workerClockMillis) {
    phase = RunPhase.STOPPING;
    workerClockWhenOrdered = workerClockMillis;
    reportNeededSince = Optional.empty();
    lastOrderAt = now;
  }

  /** Records that the worker is running it. */
  public void recordStartConfirmed(Instant now) {
    reportNeededSince = Optional.empty();
    if (phase != RunPhase.STOPPING) {
      phase = RunPhase.RUNNING;
    }
    if (startConfirmedAt.isEmpty()) {
      startConfirmedAt = Optional.of(now);
    }
  }

  /** Records that the worker will not start the run any more, or is stopping it. */
  public void recordStopConfirmed(Instant now) {
    stopConfirmedAt = Optional.of(now);
  }

  /**
   * Returns whether a report that does not list the run proves that it is neither running nor going
   * to start.
   *
   * <p>While a start order may be in flight, a missing entry proves nothing: the run may still
   * begin. A start or stop that the worker has confirmed counts only if it was confirmed before the
   * poll was sent, since an earlier poll may have been answered before the order arrived. An
   * inherited run can't begin any more: a worker that has answered this term refuses orders of
   * earlier ones.
   *
   * @param pollSentAt when the poll that the report answers was sent
   * @return whether the run is over
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
