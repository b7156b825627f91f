package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;

/**
 * The tickets that the simulated advice service has issued, which the workers check.
 *
 * <p>A ticket permits one incarnation of a worker to start all tasks of one step, for a limited
 * time. Jobs whose queue has no advice need none.
 *
 * @since 0.2
 */
public final class SimulatedTickets {

  private final VirtualTime time;
  private final Set<JobId> jobsWithAdvice = new HashSet<>();
  private final Map<String, IssuedTicket> issuedByText = new HashMap<>();
  private final Map<Refusal, Integer> refusals = new EnumMap<>(Refusal.class);

  SimulatedTickets(VirtualTime time) {
    this.time = time;
  }

  /** Why a worker refuses the ticket of a start. */
  public enum Refusal {
    /** The start carries no ticket. */
    MISSING,
    /** The ticket was not issued, or is for another step or worker. */
    FOREIGN,
    /** The ticket is for another incarnation of the worker. */
    OTHER_INCARNATION,
    /** The ticket has expired. */
    EXPIRED;

    /**
     * Returns whether a scheduler can always avoid the refusal. It may learn too late that a worker
     * has restarted, or that a start is delayed until its ticket has expired.
     */
    public boolean isAvoidable() {
      return this == MISSING || this == FOREIGN;
    }
  }

  private record IssuedTicket(StepId step, WorkerId worker, long incarnation, Instant expiresAt) {}

  /** Makes workers refuse starts of a job that carry no valid ticket. */
  public void requireFor(JobId job) {
    jobsWithAdvice.add(job);
  }

  /** Issues a ticket for the current incarnation of a worker and returns the ticket's text. */
  public String issue(StepId step, SimulatedWorker worker, Duration valid) {
    long incarnation = worker.describe().incarnation();
    Instant expiresAt = time.now().plus(valid);
    IssuedTicket ticket = new IssuedTicket(step, worker.id(), incarnation, expiresAt);
    String text = "ticket-" + issuedByText.size();
    issuedByText.put(text, ticket);
    return text;
  }

  /** Returns whether a text is that of a ticket for a step on a worker, valid or not. */
  public boolean isFor(StepId step, WorkerId worker, String text) {
    return Optional.ofNullable(issuedByText.get(text))
        .filter(ticket -> ticket.step().equals(step) && ticket.worker().equals(worker))
        .isPresent();
  }

  /** Returns why a worker must refuse a start, and counts it; empty if the ticket is sufficient. */
  Optional<Refusal> check(StepId step, WorkerId worker, long incarnation, Optional<String> text) {
    if (!jobsWithAdvice.contains(step.job())) {
      return Optional.empty();
    }
    Optional<Refusal> refusal = findRefusal(step, worker, incarnation, text);
    refusal.ifPresent(found -> refusals.merge(found, 1, Integer::sum));
    return refusal;
  }

  private Optional<Refusal> findRefusal(
      StepId step, WorkerId worker, long incarnation, Optional<String> text) {
    if (text.isEmpty()) {
      return Optional.of(Refusal.MISSING);
    }
    if (!isFor(step, worker, text.get())) {
      return Optional.of(Refusal.FOREIGN);
    }
    IssuedTicket ticket = issuedByText.get(text.get());
    if (ticket.incarnation() != incarnation) {
      return Optional.of(Refusal.OTHER_INCARNATION);
    }
    return time.now().isBefore(ticket.expiresAt())
        ? Optional.empty()
        : Optional.of(Refusal.EXPIRED);
  }

  /** Returns how many starts were refused, by cause. */
  public Map<Refusal, Integer> refusals() {
    return Map.copyOf(refusals);
  }

  /** Returns the causes of refusals that a scheduler can always avoid. */
  public List<Refusal> avoidableRefusals() {
    return refusals.keySet().stream().filter(Refusal::isAvoidable).toList();
  }
}
