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
  private List<Runnable> afterNext = new ArrayList<>();
  private List<Runnable> afterCurrent = new ArrayList<>();
  private boolean onItsWay;

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
    afterNext.add(action);
  }

  /** Returns the next batch, if there is one and none is on its way. */
  Optional<List<JournalEntry>> next() {
    boolean empty = accepted.isEmpty() && progressed.isEmpty() && forgotten.isEmpty();
    if (onItsWay || (empty && afterNext.isEmpty())) {
      return Optional.empty();
    }
    if (empty) {
      List<Runnable> actions = afterNext;
      afterNext = new ArrayList<>();
      actions.forEach(Runnable::run);
      return Optional.empty();
    }
    List<JournalEntry> entries = new ArrayList<>();
    accepted.forEach(job -> entries.add(new JournalEntry.Accepted(job.definition())));
    progressed.forEach(job -> entries.add(new JournalEntry.Progressed(job.progress())));
    forgotten.stream().limit(MOST_JOBS).forEach(id -> entries.add(new JournalEntry.Forgotten(id)));
    accepted.clear();
    progressed.clear();
    forgotten.clear();
    afterCurrent = afterNext;
    afterNext = new ArrayList<>();
    onItsWay = true;
    return Optional.of(entries);
  }

  /** Notes that the batch on its way is stored. */
  void stored() {
    onItsWay = false;
    List<Runnable> actions = afterCurrent;
    afterCurrent = new ArrayList<>();
    actions.forEach(Runnable::run);
  }
}
