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
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
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

  private final MemberContext context;
  private final Map<JobId, JobState> states = new HashMap<>();

  /** The keys whose newest record can't be decoded. */
  private final Set<String> unreadableKeys = new HashSet<>();

  private Optional<Long> nextOffset = Optional.empty();
  private Instant readAt = Instant.MIN;

  JobStateCache(MemberContext context) {
    this.context = context;
  }

  /** The result of looking a job up in the store. */
  enum LookupStatus {
    /** The journal could not be read. */
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
    if (context.clock().instant().isAfter(readAt.plus(MAXIMUM_AGE)) && !refresh()) {
      return new JobLookup(LookupStatus.UNREACHABLE, Optional.empty());
    }
    if (hasUnreadableRecord(id)) {
      return new JobLookup(LookupStatus.UNREADABLE, Optional.empty());
    }
    Optional<JobState> state = Optional.ofNullable(states.get(id));
    return new JobLookup(state.isPresent() ? LookupStatus.KNOWN : LookupStatus.ABSENT, state);
  }

  /**
   * Applies the records appended since the last read; returns false if they could not be read. If
   * the store has dropped unread records, the next call reads the newest record of each key.
   */
  private boolean refresh() {
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
      unreadableKeys.clear();
    }
    applyRecords(page.get().records());
    nextOffset = Optional.of(page.get().nextOffset());
    readAt = context.clock().instant();
    return true;
  }

  private void applyRecords(List<StoreRecord> records) {
    for (StoreRecord record : records) {
      Either<String, Optional<JournalEntry>> decoded = JournalCodec.decode(record);
      if (decoded.isLeft()) {
        context
            .log()
            .write(
                "journal record not decodable; its job is answered as unavailable",
                Map.of("offset", record.offset(), "reason", decoded.getLeft()));
        unreadableKeys.add(record.key());
        continue;
      }
      unreadableKeys.remove(record.key());
      decoded.get().ifPresentOrElse(this::applyEntry, () -> forget(record.key()));
    }
  }

  private void applyEntry(JournalEntry entry) {
    // A Cancelled entry changes no state here: the scheduler records the result as progress.
    if (entry instanceof JournalEntry.Accepted) {
      states.putIfAbsent(entry.job(), JobState.QUEUED);
    } else if (entry instanceof JournalEntry.Progressed progressed) {
      boolean started = !progressed.progress().tasks().isEmpty();
      JobState storedState = progressed.progress().state();
      states.put(
          entry.job(), started && !storedState.isTerminal() ? JobState.RUNNING : storedState);
    }
  }

  private void forget(String key) {
    if (!key.isEmpty()) {
      JobId.parse(key.substring(1)).ifPresent(states::remove);
    }
  }

  private boolean hasUnreadableRecord(JobId id) {
    return unreadableKeys.stream().anyMatch(key -> key.endsWith(id.text()));
  }
}
