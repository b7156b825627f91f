package org.hyssopport.engine.advice;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.platform.WorkerId;

/**
 * The answers of the advice service about the workers that the tasks of one step may run on.
 *
 * <p>A worker is good for the step if the service allows the step's tasks to run on it. This never
 * changes; only the tickets expire.
 *
 * @since 0.2
 */
public final class StepAdvice {

  private final Set<WorkerId> askedAbout = new HashSet<>();
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
   * @param workers the workers that the call asked about
   * @param answer the tickets of the good ones among them
   */
  public void recordAnswer(List<WorkerId> workers, Map<WorkerId, Ticket> answer) {
    askedAbout.addAll(workers);
    ticketsByWorker.putAll(answer);
    for (Ticket ticket : answer.values()) {
      latestExpiry = ticket.expiresAt().isAfter(latestExpiry) ? ticket.expiresAt() : latestExpiry;
    }
  }

  /** Returns whether an answer about the worker was recorded before. */
  public boolean wasAskedAbout(WorkerId worker) {
    return askedAbout.contains(worker);
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

  /** Returns the good workers, including those whose tickets have expired. */
  public Set<WorkerId> goodWorkers() {
    return Collections.unmodifiableSet(ticketsByWorker.keySet());
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
