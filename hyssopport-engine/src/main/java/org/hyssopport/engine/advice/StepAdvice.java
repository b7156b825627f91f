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
 * What is known of the workers that one step may run on.
 *
 * <p>Whether a worker is good for a step never changes; only the tickets expire.
 *
 * @since 0.2
 */
public final class StepAdvice {

  private final Set<WorkerId> askedAbout = new HashSet<>();
  private final Map<WorkerId, Ticket> ticketsByWorker = new HashMap<>();
  private Instant latestExpiry = Instant.MIN;

  /** Returns advice that nobody asked for yet. */
  public static StepAdvice empty() {
    return new StepAdvice();
  }

  private StepAdvice() {}

  /** Takes in an answer about some workers. */
  public void recordAnswer(List<WorkerId> workers, Map<WorkerId, Ticket> answer) {
    askedAbout.addAll(workers);
    ticketsByWorker.putAll(answer);
    for (Ticket ticket : answer.values()) {
      latestExpiry = ticket.expiresAt().isAfter(latestExpiry) ? ticket.expiresAt() : latestExpiry;
    }
  }

  /** Tells whether the worker was asked about before. */
  public boolean wasAskedAbout(WorkerId worker) {
    return askedAbout.contains(worker);
  }

  /** Returns the workers whose tickets are still accepted at an instant. */
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

  /** Returns the workers that may run the step, with a new ticket if need be. */
  public Set<WorkerId> goodWorkers() {
    return Collections.unmodifiableSet(ticketsByWorker.keySet());
  }

  /** Returns a ticket that is still accepted at an instant. */
  public Optional<Ticket> validTicket(WorkerId worker, long incarnation, Instant at) {
    return Optional.ofNullable(ticketsByWorker.get(worker))
        .filter(ticket -> ticket.incarnation() == incarnation)
        .filter(ticket -> at.isBefore(ticket.expiresAt()));
  }

  /** Forgets all tickets after one was refused; good workers stay known. */
  public void expireTickets(Instant now) {
    ticketsByWorker.replaceAll((worker, old) -> new Ticket(old.text(), old.incarnation(), now));
  }
}
