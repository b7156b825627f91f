package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobOwner;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.organisation.CallerIdentity;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StorePage;
import org.hyssopport.platform.StoreRecord;

/**
 * Caches the states of all jobs from the journal, for members that can't reach the scheduler.
 *
 * <p>The journal is read only on a lookup: the store charges for each read, and a member that
 * reaches the scheduler needs none.
 */
final class JobStateCache {

  /** A tenth of the time within which a change of state must become visible to callers. */
  private static final Duration MAXIMUM_AGE = Duration.ofMillis(300);

  /**
   * How long after a read of the journal was sent an unknown job is taken for one that does not
   * exist: half of the time after which an accepted job must be known.
   */
  private static final Duration MAXIMUM_AGE_FOR_ABSENCE = Duration.ofMillis(1500);

  private final MemberContext context;
  private final Map<JobId, JobState> states = new HashMap<>();
  private final Map<JobId, JobOwner> owners = new HashMap<>();

  /** The keys whose newest record can't be decoded. */
  private final Set<String> unreadableKeys = new HashSet<>();

  private Optional<Long> nextOffset = Optional.empty();
  private Instant readAt = Instant.MIN;

  /** When the last read was sent: records that were stored later may be missing. */
  private Instant completeUntil = Instant.MIN;

  JobStateCache(MemberContext context) {
    this.context = context;
  }

  /** The result of looking a job up in the store. */
  enum LookupStatus {
    /** The journal could not be read, or not recently enough to tell that it lacks the job. */
    UNREACHABLE,
    /** A record of the job can't be decoded, so its state is not known. */
    UNREADABLE,
    /** The journal has no such job. */
    ABSENT,
    /** The journal has the job. */
    KNOWN
  }

  /**
   * The result of a lookup and the state of the job.
   *
   * @param status whether the journal could be read and has the job
   * @param state the job's state, present only if the journal has the job
   */
  record JobLookup(LookupStatus status, Optional<JobState> state) {}

  /** Returns the state of a job; reads the journal first unless that was done recently. */
  synchronized JobLookup lookUp(JobId id) {
    boolean due = context.clock().instant().isAfter(readAt.plus(MAXIMUM_AGE));
    if (due && !refreshUntilComplete()) {
      return new JobLookup(LookupStatus.UNREACHABLE, Optional.empty());
    }
    if (hasUnreadableRecord(id)) {
      return new JobLookup(LookupStatus.UNREADABLE, Optional.empty());
    }
    Optional<JobState> state = Optional.ofNullable(states.get(id));
    if (state.isEmpty() && mayLackNewJobs()) {
      return new JobLookup(LookupStatus.UNREACHABLE, Optional.empty());
    }
    return new JobLookup(state.isPresent() ? LookupStatus.KNOWN : LookupStatus.ABSENT, state);
  }

  private boolean mayLackNewJobs() {
    return context.clock().instant().isAfter(completeUntil.plus(MAXIMUM_AGE_FOR_ABSENCE));
  }

  /**
   * Reads the journal, and once more if that took so long that newer records may be missing: the
   * second read returns only those.
   */
  private boolean refreshUntilComplete() {
    return refresh() && (!mayLackNewJobs() || refresh());
  }

  /**
   * Applies the records appended since the last read; returns false if they could not be read. If
   * the store has dropped unread records, the next call reads the newest record of each key.
   */
  private boolean refresh() {
    Instant sentAt = context.clock().instant();
    Either<StoreFailure, StorePage> page =
        nextOffset.isEmpty()
            ? context.store().readNewest(JournalCodec.TOPIC)
            : context.store().read(JournalCodec.TOPIC, nextOffset.get(), Duration.ZERO);
    if (page.isLeft()) {
      context
          .log()
          .write(
              "journal not read; job lookup answered as unavailable",
              Map.of("detail", page.getLeft().detail()));
      if (page.getLeft().kind() == StoreFailure.Kind.DROPPED) {
        nextOffset = Optional.empty();
      }
      return false;
    }
    if (nextOffset.isEmpty()) {
      states.clear();
      owners.clear();
      unreadableKeys.clear();
    }
    applyRecords(page.get().records());
    nextOffset = Optional.of(page.get().nextOffset());
    readAt = context.clock().instant();
    completeUntil = sentAt;
    return true;
  }

  private void applyRecords(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      Either<String, Optional<JournalEntry>> decoded = JournalCodec.decode(record);
      if (decoded.isLeft()) {
        context
            .log()
            .writeUnreadable(
                "journal",
                "journal record not decodable; its job is answered as unavailable",
                Map.of("offset", record.offset(), "reason", decoded.getLeft()));
        unreadableKeys.add(record.key());
        continue;
      }
      unreadableKeys.remove(record.key());
      decoded
          .get()
          .ifPresentOrElse(
              this::applyEntry,
              () -> JournalCodec.forgottenJob(record.key()).ifPresent(this::forget));
    }
  }

  private void forget(JobId job) {
    states.remove(job);
    owners.remove(job);
  }

  /** Returns whether a job is unknown, as of the last lookup, or open to a caller. */
  synchronized boolean isOpenTo(JobId id, Optional<CallerIdentity> caller) {
    return JobOwner.isOpen(Optional.ofNullable(owners.get(id)), caller);
  }

  private void applyEntry(JournalEntry entry) {
    // A Cancelled entry changes no state here: the scheduler records the result as progress.
    if (entry instanceof JournalEntry.Accepted accepted) {
      states.putIfAbsent(entry.job(), JobState.QUEUED);
      JobOwner.of(accepted.definition()).ifPresent(owner -> owners.put(entry.job(), owner));
    } else if (entry instanceof JournalEntry.Progressed progressed) {
      progressed.progress().owner().ifPresent(owner -> owners.put(entry.job(), owner));
      boolean started = !progressed.progress().tasks().isEmpty();
      JobState storedState = progressed.progress().state();
      states.put(
          entry.job(), started && !storedState.isTerminal() ? JobState.RUNNING : storedState);
    }
  }

  private boolean hasUnreadableRecord(JobId id) {
    return unreadableKeys.stream().anyMatch(key -> key.endsWith(id.text()));
  }
}
