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
  private static final int MOST_JOBS = 400;

  private final Set<Job> accepted = new LinkedHashSet<>();
  private final Set<Job> progressed = new LinkedHashSet<>();
  private final Set<JobId> forgotten = new LinkedHashSet<>();
  private List<Continuation> afterNext = new ArrayList<>();
  private List<Continuation> afterCurrent = new ArrayList<>();
  private Set<Job> progressedOnTheWay = Set.of();
  private Set<JobId> forgottenOnTheWay = Set.of();
  private boolean onItsWay;

  /** What follows once a batch is stored; and what if it is refused, or else it waits again. */
  private record Continuation(Runnable ifStored, Optional<Runnable> ifRefused) {}

  void accepted(Job job) {
    accepted.add(job);
  }

  void progressed(Job job) {
    progressed.add(job);
  }

  void forgotten(JobId job) {
    forgotten.add(job);
  }

  /** Runs something once all that was handed in so far is stored. */
  void afterStored(Runnable action) {
    afterNext.add(new Continuation(action, Optional.empty()));
  }

  /** Runs something once all that was handed in is stored, or something else if it is refused. */
  void afterStored(Runnable action, Runnable ifRefused) {
    afterNext.add(new Continuation(action, Optional.of(ifRefused)));
  }

  /** Returns the next batch, if there is one and none is on its way. */
  Optional<List<JournalEntry>> next() {
    boolean empty = accepted.isEmpty() && progressed.isEmpty() && forgotten.isEmpty();
    if (onItsWay || (empty && afterNext.isEmpty())) {
      return Optional.empty();
    }
    if (empty) {
      runAll(takeNext());
      return Optional.empty();
    }
    List<JournalEntry> entries = new ArrayList<>();
    accepted.forEach(job -> entries.add(new JournalEntry.Accepted(job.definition())));
    progressed.forEach(job -> entries.add(new JournalEntry.Progressed(job.progress())));
    forgotten.stream().limit(MOST_JOBS).forEach(id -> entries.add(new JournalEntry.Forgotten(id)));
    progressedOnTheWay = new LinkedHashSet<>(progressed);
    forgottenOnTheWay = new LinkedHashSet<>(forgotten);
    accepted.clear();
    progressed.clear();
    forgotten.clear();
    afterCurrent = takeNext();
    onItsWay = true;
    return Optional.of(entries);
  }

  private List<Continuation> takeNext() {
    List<Continuation> taken = afterNext;
    afterNext = new ArrayList<>();
    return taken;
  }

  private static void runAll(List<Continuation> continuations) {
    continuations.forEach(each -> each.ifStored().run());
  }

  /** Notes that the batch on its way is stored. */
  void stored() {
    onItsWay = false;
    List<Continuation> actions = afterCurrent;
    afterCurrent = new ArrayList<>();
    runAll(actions);
  }

  /** Notes that the batch on its way was surely not stored; what can't be taken back stays. */
  void refused() {
    onItsWay = false;
    List<Continuation> actions = afterCurrent;
    afterCurrent = new ArrayList<>();
    progressed.addAll(progressedOnTheWay);
    forgotten.addAll(forgottenOnTheWay);
    for (Continuation each : actions) {
      if (each.ifRefused().isPresent()) {
        each.ifRefused().get().run();
      } else {
        afterNext.add(each);
      }
    }
  }

  /** Drops a job that was not accepted after all. */
  void withdraw(Job job) {
    accepted.remove(job);
    progressed.remove(job);
  }
}
