package org.hyssopport.engine.advice;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;

/**
 * The answers of the advice service about the workers that the tasks of one step may run on.
 *
 * <p>A worker is good for the step if the service allows the step's tasks to run on it. This never
 * changes during one incarnation of the worker; only the tickets expire.
 *
 * @since 0.2
 */
public final class StepAdvice {

  private final Map<WorkerId, Long> askedIncarnations = new HashMap<>();
  private final Map<WorkerId, Ticket> ticketsByWorker = new HashMap<>();
  private Instant latestExpiry = Instant.MIN;

  /** Returns advice before the first answer. */
  public static StepAdvice empty() {
    return new StepAdvice();
  }

  private StepAdvice() {}

  /**
   * Records an answer.
   *
   * @param asked the workers that the call asked about, with the incarnation known at that time
   * @param answer the tickets of the good ones among them
   */
  public void recordAnswer(Map<WorkerId, Long> asked, Map<WorkerId, Ticket> answer) {
    asked.forEach(this::forgetOtherIncarnation);
    askedIncarnations.putAll(asked);
    ticketsByWorker.putAll(answer);
    for (Ticket ticket : answer.values()) {
      latestExpiry = ticket.expiresAt().isAfter(latestExpiry) ? ticket.expiresAt() : latestExpiry;
    }
  }

  private void forgetOtherIncarnation(WorkerId worker, long incarnation) {
    if (!wasAskedAbout(worker, incarnation)) {
      ticketsByWorker.remove(worker);
    }
  }

  /** Returns whether an answer about an incarnation of a worker was recorded before. */
  public boolean wasAskedAbout(WorkerId worker, long incarnation) {
    return Long.valueOf(incarnation).equals(askedIncarnations.get(worker));
  }

  /** Returns the workers whose tickets are still valid at an instant. */
  public List<WorkerId> workersWithValidTicket(Instant at) {
    if (!at.isBefore(latestExpiry)) {
      return List.of();
    }
    List<WorkerId> usable = new ArrayList<>();
    ticketsByWorker.forEach(
        (worker, ticket) -> {
          if (at.isBefore(ticket.expiresAt())) {
            usable.add(worker);
          }
        });
    return usable;
  }

  /** Returns whether an incarnation of a worker is good, also if its ticket has expired. */
  public boolean isGood(WorkerId worker, long incarnation) {
    return wasAskedAbout(worker, incarnation) && ticketsByWorker.containsKey(worker);
  }

  /**
   * Returns the ticket for a worker, if it is valid.
   *
   * @param worker the worker
   * @param incarnation the worker's incarnation, which must be that of the ticket
   * @param at the instant at which the ticket must be valid
   * @return the ticket; empty if there is no valid one
   */
  public Optional<Ticket> validTicket(WorkerId worker, long incarnation, Instant at) {
    return Optional.ofNullable(ticketsByWorker.get(worker))
        .filter(ticket -> ticket.incarnation() == incarnation)
        .filter(ticket -> at.isBefore(ticket.expiresAt()));
  }

  /** Expires all tickets after a worker refused one; the set of good workers is kept. */
  public void expireTickets(Instant now) {
    ticketsByWorker.replaceAll((worker, old) -> new Ticket(old.text(), old.incarnation(), now));
  }
}
