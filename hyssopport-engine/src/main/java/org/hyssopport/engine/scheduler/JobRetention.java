package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hyssopport.engine.job.Job;

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

  /** The ended jobs whose definitions are in the journal, in the order of their ends. */
  private final Deque<Job> inJournal = new ArrayDeque<>();

  /** The ended jobs whose definitions are in memory only, in the order of their ends. */
  private final Deque<Job> inMemory = new ArrayDeque<>();

  /** The jobs of which only the final state is left, in the order of their ends. */
  private final Deque<EndedJob> archived = new ArrayDeque<>();

  JobRetention(SchedulerContext context, JobRegistry jobs, JournalQueue journal) {
    this.context = context;
    this.jobs = jobs;
    this.journal = journal;
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
    while (!inJournal.isEmpty()
        && isPast(inJournal.peek().endedAt().orElseThrow(), JOURNAL_DELAY)
        && inJournal.peek().storedState().isTerminal()) {
      Job job = inJournal.remove();
      journal.addArchived(job.id());
      inMemory.add(job);
    }
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
