package org.hyssopport.engine.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.advice.AdviceCall;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;

/**
 * An action that a {@link CellScheduler} asks its host to carry out. The host is a member of the
 * cell or a simulation.
 *
 * @since 0.2
 */
public sealed interface SchedulerEffect {

  /**
   * Appends entries to the journal, all or none. At most one such batch is in flight.
   *
   * @param entries the entries
   */
  record Store(List<JournalEntry> entries) implements SchedulerEffect {}

  /**
   * Answers a caller's request.
   *
   * @param caller the request
   * @param answer the answer
   */
  record Answer(CallerRequestId caller, CallerAnswer answer) implements SchedulerEffect {}

  /**
   * Polls a worker, acknowledges ended runs and extends the lease.
   *
   * @param worker the worker
   * @param leaseUntil the end of the lease as a reading of the worker's clock in milliseconds;
   *     empty to leave the lease unchanged
   * @param acknowledgeUpTo the number of the last ended run that is acknowledged
   * @param waitMillis how long the worker may delay its answer until a run ends, in milliseconds
   */
  record Poll(
      WorkerDescription worker, Optional<Long> leaseUntil, long acknowledgeUpTo, int waitMillis)
      implements SchedulerEffect {}

  /**
   * Orders a worker to start a run.
   *
   * @param worker the worker
   * @param run the run
   * @param payload the input of the task
   * @param leaseUntil the end of the lease as a reading of the worker's clock in milliseconds
   * @param checkpoint the checkpoint to resume from, or an empty string
   * @param ticket the ticket, if the queue requires advice; the order is not sent once it can't
   *     arrive before the ticket expires
   */
  record Start(
      WorkerDescription worker,
      RunId run,
      String payload,
      long leaseUntil,
      String checkpoint,
      Optional<Ticket> ticket)
      implements SchedulerEffect {}

  /**
   * Orders a worker to stop a run.
   *
   * @param worker the worker
   * @param run the run
   */
  record Stop(WorkerDescription worker, RunId run) implements SchedulerEffect {}

  /**
   * Makes a member of the cell call the advice service.
   *
   * @param member the member's address
   * @param call the call
   */
  record RequestAdvice(String member, AdviceCall call) implements SchedulerEffect {}

  /**
   * Ends this scheduler's term, because a worker has shown that there is a newer scheduler.
   *
   * @param reason what the worker answered or reported
   */
  record StepDown(String reason) implements SchedulerEffect {}

  /**
   * Logs a decision.
   *
   * @param decision the kind of decision
   * @param subject the job, step or task concerned, or an empty string
   * @param inputs the values that the decision rests on
   */
  record LogDecision(String decision, String subject, Map<String, Object> inputs)
      implements SchedulerEffect {}
}
