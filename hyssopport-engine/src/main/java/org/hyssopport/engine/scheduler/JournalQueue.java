package org.hyssopport.engine.scheduler;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JournalEntry;

/**
 * Collects what has to be stored into batches, one on its way at a time.
 *
 * <p>While one batch is on its way the next one grows, so that the number of calls to the store
 * follows the store's answer time and not the load.
 */
final class JournalQueue {

  /** Keeps a batch well under the store's largest call, 2 MB at the sites' figures. */
  private static final int MAXIMUM_FORGOTTEN_JOBS = 400;

  private final Set<Job> accepted = new LinkedHashSet<>();
  private final Set<Job> progressed = new LinkedHashSet<>();
  private final Set<JobId> forgotten = new LinkedHashSet<>();
  private List<Continuation> nextContinuations = new ArrayList<>();
  private List<Continuation> inFlightContinuations = new ArrayList<>();
  private Set<Job> progressedInFlight = Set.of();
  private Set<JobId> forgottenInFlight = Set.of();
  private boolean batchInFlight;

  /** What follows once a batch is stored; and what if it is refused, or else it waits again. */
  private record Continuation(Runnable ifStored, Optional<Runnable> ifRefused) {}

  void addAccepted(Job job) {
    accepted.add(job);
  }

  void addProgressed(Job job) {
    progressed.add(job);
  }

  void addForgotten(JobId job) {
    forgotten.add(job);
  }

  /** Runs something once all that was handed in so far is stored. */
  void afterStored(Runnable action) {
    nextContinuations.add(new Continuation(action, Optional.empty()));
  }

  /** Runs something once all that was handed in is stored, or something else if it is refused. */
  void afterStored(Runnable action, Runnable ifRefused) {
    nextContinuations.add(new Continuation(action, Optional.of(ifRefused)));
  }

  /** Returns the next batch, if there is one and none is on its way. */
  Optional<List<JournalEntry>> startNextBatch() {
    boolean empty = accepted.isEmpty() && progressed.isEmpty() && forgotten.isEmpty();
    if (batchInFlight || (empty && nextContinuations.isEmpty())) {
      return Optional.empty();
    }
    if (empty) {
      runAll(drainContinuations());
      return Optional.empty();
    }
    List<JournalEntry> entries = new ArrayList<>();
    accepted.forEach(job -> entries.add(new JournalEntry.Accepted(job.definition())));
    progressed.forEach(job -> entries.add(new JournalEntry.Progressed(job.progress())));
    forgotten.stream()
        .limit(MAXIMUM_FORGOTTEN_JOBS)
        .forEach(id -> entries.add(new JournalEntry.Forgotten(id)));
    progressedInFlight = new LinkedHashSet<>(progressed);
    forgottenInFlight = new LinkedHashSet<>(forgotten);
    accepted.clear();
    progressed.clear();
    forgotten.clear();
    inFlightContinuations = drainContinuations();
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

  /** Notes that the batch on its way is stored. */
  void onBatchStored() {
    batchInFlight = false;
    List<Continuation> continuations = inFlightContinuations;
    inFlightContinuations = new ArrayList<>();
    runAll(continuations);
  }

  /** Notes that the batch on its way was surely not stored; what can't be taken back stays. */
  void onBatchRefused() {
    batchInFlight = false;
    List<Continuation> continuations = inFlightContinuations;
    inFlightContinuations = new ArrayList<>();
    progressed.addAll(progressedInFlight);
    forgotten.addAll(forgottenInFlight);
    for (Continuation continuation : continuations) {
      if (continuation.ifRefused().isPresent()) {
        continuation.ifRefused().get().run();
      } else {
        nextContinuations.add(continuation);
      }
    }
  }

  /** Drops a job that was not accepted after all. */
  void withdraw(Job job) {
    accepted.remove(job);
    progressed.remove(job);
  }
}
