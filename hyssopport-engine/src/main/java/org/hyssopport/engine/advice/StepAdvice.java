package org.hyssopport.engine.advice;

import java.time.Instant;
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

  private final Set<WorkerId> named = new HashSet<>();
  private final Map<WorkerId, Ticket> good = new HashMap<>();

  /** Returns advice that nobody asked for yet. */
  public static StepAdvice none() {
    return new StepAdvice();
  }

  private StepAdvice() {}

  /** Takes in an answer about some workers. */
  public void learn(List<WorkerId> asked, Map<WorkerId, Ticket> answer) {
    named.addAll(asked);
    good.putAll(answer);
  }

  /** Tells whether the worker was asked about before. */
  public boolean knows(WorkerId worker) {
    return named.contains(worker);
  }

  /** Tells whether the worker may run the step, with a new ticket if need be. */
  public boolean isGood(WorkerId worker) {
    return good.containsKey(worker);
  }

  /** Returns a ticket that is still accepted at an instant. */
  public Optional<Ticket> ticket(WorkerId worker, long incarnation, Instant at) {
    return Optional.ofNullable(good.get(worker))
        .filter(ticket -> ticket.incarnation() == incarnation)
        .filter(ticket -> at.isBefore(ticket.expiresAt()));
  }

  /** Forgets all tickets after one was refused; good workers stay known. */
  public void expireTickets(Instant now) {
    good.replaceAll((worker, old) -> new Ticket(old.text(), old.incarnation(), now));
  }
}
