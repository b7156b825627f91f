package org.hyssopport.engine.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JournalEntry;

/**
 * Collects journal entries into batches, of which at most one is in flight.
 *
 * <p>Entries that arrive while a batch is in flight wait for the next one, so that the number of
 * calls to the store depends on the store's answer time and not on the load.
 */
final class JournalQueue {

  /**
   * Keeps a batch well below the store's largest append of 2 MB. Removals beyond the limit wait for
   * the next batches.
   */
  private static final int MAXIMUM_REMOVALS = 400;

  private final Map<Job, Continuation> accepted = new LinkedHashMap<>();
  private final Set<Job> progressed = new LinkedHashSet<>();

  /** Unknown jobs that callers have cancelled. */
  private final Set<JobId> cancelled = new LinkedHashSet<>();

  /** Entries that only remove stored ones. */
  private final Set<JournalEntry> removals = new LinkedHashSet<>();

  private List<Continuation> nextContinuations = new ArrayList<>();
  private List<Continuation> inFlightContinuations = new ArrayList<>();
  private Set<Job> progressedInFlight = Set.of();
  private Set<JobId> cancelledInFlight = Set.of();
  private Set<JournalEntry> removalsInFlight = Set.of();
  private boolean batchInFlight;

  /**
   * What to run once a batch is stored or refused. Without an action for a refusal, the
   * continuation waits for the next batch.
   */
  private record Continuation(Runnable ifStored, Optional<Runnable> ifRefused) {}

  /**
   * Adds a new job, and runs one action once it is stored, or another once it is certain that it is
   * not.
   */
  void addAccepted(Job job, Runnable ifStored, Runnable ifRefused) {
    accepted.put(job, new Continuation(ifStored, Optional.of(ifRefused)));
  }

  void addProgressed(Job job) {
    progressed.add(job);
  }

  void addCancelled(JobId job) {
    cancelled.add(job);
  }

  void addCancellationExpired(JobId job) {
    removals.add(new JournalEntry.CancellationExpired(job));
  }

  void addArchived(JobId job) {
    removals.add(new JournalEntry.Archived(job));
  }

  void addForgotten(JobId job) {
    removals.add(new JournalEntry.Forgotten(job));
  }

  /**
   * Runs an action once all entries added so far are stored; a refusal only delays it. The action
   * does not wait for removals beyond the limit of a batch.
   */
  void afterStored(Runnable action) {
    nextContinuations.add(new Continuation(action, Optional.empty()));
  }

  /** Runs one action once all entries added so far are stored, or another if they are refused. */
  void afterStored(Runnable action, Runnable ifRefused) {
    nextContinuations.add(new Continuation(action, Optional.of(ifRefused)));
  }

  /**
   * Returns the next batch, if there are entries to store and no batch is in flight. Without
   * entries, runs the waiting continuations at once.
   */
  Optional<List<JournalEntry>> startNextBatch() {
    boolean empty =
        accepted.isEmpty() && progressed.isEmpty() && cancelled.isEmpty() && removals.isEmpty();
    if (batchInFlight || (empty && nextContinuations.isEmpty())) {
      return Optional.empty();
    }
    if (empty) {
      runAll(drainContinuations());
      return Optional.empty();
    }
    List<JournalEntry> entries = new ArrayList<>();
    accepted.keySet().forEach(job -> entries.add(new JournalEntry.Accepted(job.definition())));
    progressed.forEach(job -> entries.add(new JournalEntry.Progressed(job.progress())));
    cancelled.forEach(job -> entries.add(new JournalEntry.Cancelled(job)));
    removalsInFlight = new LinkedHashSet<>();
    removals.stream().limit(MAXIMUM_REMOVALS).forEach(removalsInFlight::add);
    entries.addAll(removalsInFlight);
    progressedInFlight = new LinkedHashSet<>(progressed);
    cancelledInFlight = new LinkedHashSet<>(cancelled);
    inFlightContinuations = new ArrayList<>(accepted.values());
    inFlightContinuations.addAll(drainContinuations());
    accepted.clear();
    progressed.clear();
    cancelled.clear();
    removals.removeAll(removalsInFlight);
    batchInFlight = true;
    return Optional.of(entries);
  }

  private List<Continuation> drainContinuations() {
    List<Continuation> drained = nextContinuations;
    nextContinuations = new ArrayList<>();
    return drained;
  }

  private static void runAll(List<Continuation> continuations) {
    continuations.forEach(continuation -> continuation.ifStored().run());
  }

  /** Runs what waited for the batch in flight, which is now stored. */
  void onBatchStored() {
    batchInFlight = false;
    List<Continuation> continuations = inFlightContinuations;
    inFlightContinuations = new ArrayList<>();
    runAll(continuations);
  }

  /**
   * Handles a batch that was certainly not stored. Progressed jobs, cancellations and removals go
   * into the next batch, since these changes can't be undone; a new job is left to its refusal
   * action.
   */
  void onBatchRefused() {
    batchInFlight = false;
    List<Continuation> continuations = inFlightContinuations;
    inFlightContinuations = new ArrayList<>();
    progressed.addAll(progressedInFlight);
    cancelled.addAll(cancelledInFlight);
    removals.addAll(removalsInFlight);
    for (Continuation continuation : continuations) {
      if (continuation.ifRefused().isPresent()) {
        continuation.ifRefused().get().run();
      } else {
        nextContinuations.add(continuation);
      }
    }
  }

  /**
   * Refuses the new jobs that no batch contains yet. Those of the batch in flight may be stored.
   */
  void refuseUnsentJobs() {
    List<Continuation> refused = List.copyOf(accepted.values());
    accepted.clear();
    refused.forEach(continuation -> continuation.ifRefused().orElseThrow().run());
  }

  /** Drops the entries of a job whose acceptance was refused. */
  void withdraw(Job job) {
    accepted.remove(job);
    progressed.remove(job);
  }
}
