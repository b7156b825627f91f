package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.quota.UsageLedger;

/**
 * Reduces ended jobs to their final states, and forgets them after the retention time.
 *
 * <p>Callers may ask for the state of an ended job for minutes, so that most of the jobs in the
 * journal have ended. A scheduler reads the journal before it can take over; what it reads should
 * grow with the jobs that still run and not with those of the last minutes.
 */
final class JobRetention {

  /** Within this time, the runs of an ended job are usually stopped and their ends reported. */
  private static final Duration JOURNAL_DELAY = Duration.ofSeconds(2);

  /**
   * Longer than a start order without an answer is remembered, which has to be stopped on each new
   * incarnation of its worker: see {@link UnansweredStarts}.
   */
  private static final Duration MEMORY_DELAY = Duration.ofSeconds(20);

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final JournalQueue journal;
  private final UsageLedger usage;

  /** The ended jobs whose definitions are in the journal, in the order of their ends. */
  private final Deque<Job> inJournal = new ArrayDeque<>();

  /**
   * The ended jobs whose runs may go on, as on a worker that can't be reached. The next scheduler
   * has to count them for their organisation, so that their definitions are kept in the journal.
   */
  private final List<Job> stillRunning = new ArrayList<>();

  /** The ended jobs whose definitions are in memory only, in the order of their ends. */
  private final Deque<Job> inMemory = new ArrayDeque<>();

  /** The jobs of which only the final state is left, in the order of their ends. */
  private final Deque<EndedJob> archived = new ArrayDeque<>();

  JobRetention(
      SchedulerContext context, JobRegistry jobs, JournalQueue journal, UsageLedger usage) {
    this.context = context;
    this.jobs = jobs;
    this.journal = journal;
    this.usage = usage;
  }

  /**
   * Adds the jobs that have ended since the last call, and reduces or forgets those that are due.
   */
  void tick() {
    inJournal.addAll(jobs.drainEnded());
    archived.addAll(jobs.drainArchived());
    archiveInJournal();
    archiveInMemory();
    forget();
  }

  private boolean isPast(Instant endedAt, Duration delay) {
    return context.now().isAfter(endedAt.plus(delay));
  }

  private void archiveInJournal() {
    archiveThoseThatStopped();
    while (!inJournal.isEmpty()
        && isPast(inJournal.peek().endedAt().orElseThrow(), JOURNAL_DELAY)
        && inJournal.peek().storedState().isTerminal()) {
      Job job = inJournal.remove();
      if (usage.hasRuns(job.id())) {
        stillRunning.add(job);
      } else {
        archiveInJournal(job);
      }
    }
  }

  private void archiveThoseThatStopped() {
    Iterator<Job> iterator = stillRunning.iterator();
    while (iterator.hasNext()) {
      Job job = iterator.next();
      if (!usage.hasRuns(job.id())) {
        iterator.remove();
        archiveInJournal(job);
      }
    }
  }

  private void archiveInJournal(Job job) {
    journal.addArchived(job.id());
    inMemory.add(job);
  }

  private void archiveInMemory() {
    while (!inMemory.isEmpty() && isPast(inMemory.peek().endedAt().orElseThrow(), MEMORY_DELAY)) {
      jobs.archive(EndedJob.of(inMemory.remove()));
    }
    archived.addAll(jobs.drainArchived());
  }

  private void forget() {
    while (!archived.isEmpty()
        && isPast(archived.peek().endedAt(), context.settings().retention())) {
      EndedJob job = archived.remove();
      jobs.remove(job.id());
      journal.addForgotten(job.id());
    }
  }
}
