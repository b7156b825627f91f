package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;

/**
 * Something that the scheduler has to take note of.
 *
 * @since 0.2
 */
public sealed interface SchedulerEvent {

  /**
   * The journal as it stood when this term began.
   *
   * @param entries the newest entry of each kind and job
   * @param workers the live list
   */
  record Recovered(List<JournalEntry> entries, List<WorkerDescription> workers)
      implements SchedulerEvent {}

  /** Time has passed. */
  record Ticked() implements SchedulerEvent {}

  /**
   * A caller asks something.
   *
   * @param caller who asks
   * @param request what is asked
   */
  record CallerRequestReceived(CallerRequestId caller, CallerRequest request)
      implements SchedulerEvent {}

  /** The batch that was on its way is stored. */
  record JournalBatchStored() implements SchedulerEvent {}

  /** The batch that was on its way is surely not stored. */
  record JournalBatchRefused() implements SchedulerEvent {}

  /**
   * Whether the store takes records was learnt.
   *
   * @param available false from the first append that failed until the next that did not
   */
  record StoreAvailabilityChanged(boolean available) implements SchedulerEvent {}

  /** The store has just answered, which proves that it still knows this member. */
  record StoreAnswered() implements SchedulerEvent {}

  /**
   * Entries that other instances stored.
   *
   * @param entries the entries, in order
   */
  record OtherMemberEntriesRead(List<JournalEntry> entries) implements SchedulerEvent {}

  /**
   * The live list as it stands.
   *
   * @param workers all workers
   */
  record LiveListReceived(List<WorkerDescription> workers) implements SchedulerEvent {}

  /**
   * A look at a worker came back.
   *
   * @param worker the worker
   * @param incarnation the incarnation that was meant
   * @param sentAt when the look was sent
   * @param acknowledgedUpTo the number up to which ends were acknowledged with it
   * @param result the result
   */
  record WorkerPolled(
      WorkerId worker, long incarnation, Instant sentAt, long acknowledgedUpTo, PollResult result)
      implements SchedulerEvent {}

  /**
   * An order about a run was answered.
   *
   * @param worker the worker
   * @param incarnation the incarnation that was meant
   * @param run the run
   * @param start whether it was to be started; else it was to be stopped
   * @param result the answer
   * @param clockMillis the worker's clock, if it was told
   */
  record OrderAnswered(
      WorkerId worker,
      long incarnation,
      RunId run,
      boolean start,
      OrderResult result,
      Optional<Long> clockMillis)
      implements SchedulerEvent {}

  /**
   * A call for advice was answered.
   *
   * @param call the call's number
   * @param tickets the tickets of the good workers, or nothing if the call failed
   */
  record AdviceAnswered(long call, Optional<Map<WorkerId, Ticket>> tickets)
      implements SchedulerEvent {}

  /**
   * The members that can make calls for advice.
   *
   * @param members their addresses
   */
  record MembersChanged(Set<String> members) implements SchedulerEvent {}
}
