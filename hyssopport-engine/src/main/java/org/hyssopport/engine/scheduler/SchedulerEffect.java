package org.hyssopport.engine.scheduler;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.advice.AdviceCall;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;

/**
 * Something that the scheduler wants done.
 *
 * @since 0.2
 */
public sealed interface SchedulerEffect {

  /**
   * Store entries, all or none; there is at most one such batch on its way.
   *
   * @param entries the entries
   */
  record Store(List<JournalEntry> entries) implements SchedulerEffect {}

  /**
   * Tell a caller.
   *
   * @param caller the caller
   * @param answer the answer
   */
  record Answer(CallerRequestId caller, CallerAnswer answer) implements SchedulerEffect {}

  /**
   * Look at a worker, acknowledge its ends and extend its lease.
   *
   * @param worker the worker
   * @param leaseUntil the lease by the worker's clock; empty to leave it as it is
   * @param acknowledgeUpTo the number up to which ends are acknowledged
   * @param waitMillis how long the answer may wait for an end
   */
  record Poll(
      WorkerDescription worker, Optional<Long> leaseUntil, long acknowledgeUpTo, int waitMillis)
      implements SchedulerEffect {}

  /**
   * Start a run.
   *
   * @param worker the worker
   * @param run the run
   * @param payload what the task is told
   * @param leaseUntil the lease by the worker's clock
   * @param checkpoint where to go on from, or an empty text
   * @param ticket the ticket, where the queue needs one
   */
  record Start(
      WorkerDescription worker,
      RunId run,
      String payload,
      long leaseUntil,
      String checkpoint,
      Optional<String> ticket)
      implements SchedulerEffect {}

  /**
   * Stop a run.
   *
   * @param worker the worker
   * @param run the run
   */
  record Stop(WorkerDescription worker, RunId run) implements SchedulerEffect {}

  /**
   * Let a member ask for advice.
   *
   * @param member the member's address
   * @param call the call
   */
  record RequestAdvice(String member, AdviceCall call) implements SchedulerEffect {}

  /**
   * A worker knows a newer scheduler: this one's term is over.
   *
   * @param reason what showed it
   */
  record StepDown(String reason) implements SchedulerEffect {}

  /**
   * A decision for the log.
   *
   * @param decision what was decided
   * @param request the job that it touches, or an empty text
   * @param inputs what decided it
   */
  record LogDecision(String decision, String request, Map<String, Object> inputs)
      implements SchedulerEffect {}
}
