package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;

/**
 * An event that the host of a {@link CellScheduler} passes to it.
 *
 * @since 0.2
 */
public sealed interface SchedulerEvent {

  /**
   * The journal was read at the beginning of this term.
   *
   * @param entries the newest entry of each kind for each job
   * @param workers the workers on the live list
   * @param lapsed the workers whose entries expired while the store was away
   */
  record Recovered(
      List<JournalEntry> entries, List<WorkerDescription> workers, List<WorkerDescription> lapsed)
      implements SchedulerEvent {

    /** Returns the event of a term whose live list lacks no entry because of the store. */
    public static Recovered of(List<JournalEntry> entries, List<WorkerDescription> workers) {
      return new Recovered(entries, workers, List.of());
    }
  }

  /**
   * A newer configuration is in force.
   *
   * @param configuration the configuration
   */
  record ConfigurationChanged(CellConfiguration configuration) implements SchedulerEvent {}

  /** A tick of the scheduler, for work that depends on time alone. */
  record Ticked() implements SchedulerEvent {}

  /**
   * A caller's request arrived.
   *
   * @param caller the id of the request
   * @param request the request
   */
  record CallerRequestReceived(CallerRequestId caller, CallerRequest request)
      implements SchedulerEvent {}

  /**
   * The batch in flight was stored, so no newer term had begun when the append was sent.
   *
   * @param sentAt when the append was sent that the store confirmed, by the local monotonic clock
   */
  record JournalBatchStored(Instant sentAt) implements SchedulerEvent {}

  /** The batch in flight was certainly not stored. */
  record JournalBatchRefused() implements SchedulerEvent {}

  /**
   * The store became available or unavailable for appends.
   *
   * @param available false from the first failed append until the next successful one
   */
  record StoreAvailabilityChanged(boolean available) implements SchedulerEvent {}

  /**
   * Entries that other members stored were read from the journal.
   *
   * @param entries the entries, in the order of the journal
   */
  record OtherMemberEntriesRead(List<JournalEntry> entries) implements SchedulerEvent {}

  /**
   * The journal was read to its end, and no newer term is recorded in it. Earlier events contain
   * every entry that other members had stored when the read was sent.
   *
   * @param sentAt when the read was sent, by the local monotonic clock
   */
  record JournalRead(Instant sentAt) implements SchedulerEvent {}

  /**
   * The current live list was received.
   *
   * @param workers all workers on the list
   * @param lapsed the workers whose entries expired while the store was away, and that have had no
   *     time yet to enter themselves again
   */
  record LiveListReceived(List<WorkerDescription> workers, Set<WorkerId> lapsed)
      implements SchedulerEvent {}

  /**
   * A poll of a worker ended, with or without an answer.
   *
   * @param worker the worker
   * @param incarnation the incarnation that was addressed
   * @param sentAt when the poll was sent, by the local monotonic clock
   * @param acknowledgedUpTo the number of the last ended run that the poll acknowledged
   * @param result the result
   */
  record WorkerPolled(
      WorkerId worker, long incarnation, Instant sentAt, long acknowledgedUpTo, PollResult result)
      implements SchedulerEvent {}

  /**
   * An order to start or stop a run ended, with or without an answer.
   *
   * @param worker the worker
   * @param incarnation the incarnation that was addressed
   * @param run the run
   * @param isStart true for a start order, false for a stop order
   * @param result the result
   * @param clockMillis the reading of the worker's clock in milliseconds, if the answer states it
   */
  record OrderFinished(
      WorkerId worker,
      long incarnation,
      RunId run,
      boolean isStart,
      OrderResult result,
      Optional<Long> clockMillis)
      implements SchedulerEvent {}

  /**
   * Limits how many starts may be on their way, since the host can't send more of them in time.
   *
   * @param most how many, from the placement of a task to the result of its start order; empty for
   *     no limit
   */
  record StartLimitChanged(Optional<Integer> most) implements SchedulerEvent {}

  /**
   * A call for advice ended.
   *
   * @param call the number of the call
   * @param tickets the tickets of the workers that the service allows for the step; empty if the
   *     call failed
   */
  record AdviceCallFinished(long call, Optional<Map<WorkerId, Ticket>> tickets)
      implements SchedulerEvent {}

  /**
   * The set of members that can make calls for advice changed.
   *
   * @param members their addresses
   */
  record MembersChanged(Set<String> members) implements SchedulerEvent {}
}
