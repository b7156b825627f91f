package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobProgress;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.platform.StoreRecord;
import org.hyssopport.platform.StoreWrite;
import org.hyssopport.protocol.MessagePackCodec;

/**
 * Encodes journal entries as records of the store, and decodes them.
 *
 * <p>The key of a record is a letter for the kind of entry, followed by the job's id.
 */
final class JournalCodec {

  /** The topic of the journal; the store keeps the newest record of each key permanently. */
  static final String TOPIC = "keyed.jobs";

  private static final String ACCEPTED_PREFIX = "j";
  private static final String PROGRESSED_PREFIX = "p";
  private static final String CANCELLED_PREFIX = "c";
  private static final byte[] CANCELLED_VALUE = {1};

  /**
   * The key of the record that each term appends when it begins; its value is the term's number.
   */
  private static final String TERM_KEY = "term";

  private static final MessagePackCodec<JobDefinition> DEFINITION_CODEC =
      MessagePackCodec.of(JobDefinition.class);
  private static final MessagePackCodec<JobProgress> PROGRESS_CODEC =
      MessagePackCodec.of(JobProgress.class);

  /** The store refuses larger records; the key and its length take 18 bytes of them. */
  private static final int MAXIMUM_VALUE_BYTES = 262_144 - 18;

  /** The largest encoded progress of a task, with a worker's id of 64 characters. */
  private static final int MAXIMUM_TASK_PROGRESS_BYTES = 250;

  private JournalCodec() {}

  /**
   * Returns whether the definition of a job and its progress, with all of its tasks assigned, each
   * fit into one record. A larger record would end the term of each scheduler that appends it.
   */
  static boolean fits(JobDefinition definition) {
    long tasks = definition.steps().stream().mapToLong(StepDefinition::tasks).sum();
    boolean progressFits =
        tasks * definition.occurrenceCount() * MAXIMUM_TASK_PROGRESS_BYTES <= MAXIMUM_VALUE_BYTES;
    return progressFits && DEFINITION_CODEC.encode(definition).length <= MAXIMUM_VALUE_BYTES;
  }

  /** Returns the records of the entries; what is no longer needed of a job is deleted. */
  static List<StoreWrite> encode(List<JournalEntry> entries) {
    List<StoreWrite> writes = new ArrayList<>();
    for (JournalEntry entry : entries) {
      String id = entry.job().text();
      if (entry instanceof JournalEntry.Accepted accepted) {
        writes.add(write(ACCEPTED_PREFIX + id, DEFINITION_CODEC.encode(accepted.definition())));
      } else if (entry instanceof JournalEntry.Progressed progressed) {
        writes.add(write(PROGRESSED_PREFIX + id, PROGRESS_CODEC.encode(progressed.progress())));
      } else if (entry instanceof JournalEntry.Cancelled) {
        writes.add(write(CANCELLED_PREFIX + id, CANCELLED_VALUE));
      } else if (entry instanceof JournalEntry.CancellationExpired) {
        writes.add(deletion(CANCELLED_PREFIX + id));
      } else {
        writes.add(deletion(ACCEPTED_PREFIX + id));
        writes.add(deletion(CANCELLED_PREFIX + id));
        if (entry instanceof JournalEntry.Forgotten) {
          writes.add(deletion(PROGRESSED_PREFIX + id));
        }
      }
    }
    return writes;
  }

  private static StoreWrite write(String key, byte[] value) {
    return new StoreWrite(key, Optional.of(value));
  }

  private static StoreWrite deletion(String key) {
    return new StoreWrite(key, Optional.empty());
  }

  /** Returns the record that a term appends when it begins. */
  static StoreWrite termRecord(long term) {
    return write(TERM_KEY, Long.toString(term).getBytes(StandardCharsets.US_ASCII));
  }

  /** Returns the number of the newest term that began according to the records. */
  static OptionalLong newestTerm(List<StoreRecord> records) {
    return records.stream().flatMapToLong(record -> termOf(record).stream()).max();
  }

  private static OptionalLong termOf(StoreRecord record) {
    if (!record.key().equals(TERM_KEY) || record.value().isEmpty()) {
      return OptionalLong.empty();
    }
    String number = new String(record.value().get(), StandardCharsets.US_ASCII);
    return number.matches("\\d{1,18}")
        ? OptionalLong.of(Long.parseLong(number))
        : OptionalLong.empty();
  }

  /** Returns the job that a deleted key makes unknown; the other keys of a job are not enough. */
  static Optional<JobId> forgottenJob(String deletedKey) {
    return deletedKey.startsWith(PROGRESSED_PREFIX)
        ? JobId.parse(deletedKey.substring(PROGRESSED_PREFIX.length()))
        : Optional.empty();
  }

  /**
   * Returns the entry of a record, empty for a deleted key or the record of a term, or why it can't
   * be decoded.
   */
  static Either<String, Optional<JournalEntry>> decode(StoreRecord record) {
    if (!record.readable()) {
      return Either.left("record of key " + record.key() + " is not readable");
    }
    if (record.value().isEmpty() || termOf(record).isPresent()) {
      return Either.right(Optional.empty());
    }
    Optional<JobId> id =
        record.key().isEmpty() ? Optional.empty() : JobId.parse(record.key().substring(1));
    if (id.isEmpty()) {
      return Either.left("key " + record.key() + " contains no valid job id");
    }
    byte[] value = record.value().get();
    return switch (record.key().substring(0, 1)) {
      case ACCEPTED_PREFIX ->
          DEFINITION_CODEC
              .decode(value)
              .filterOrElse(
                  definition -> definition.id().equals(id.get()) && definition.isComputable(),
                  definition -> "definition is not usable or of another job than its key")
              .map(definition -> Optional.of(new JournalEntry.Accepted(definition)));
      case PROGRESSED_PREFIX ->
          PROGRESS_CODEC
              .decode(value)
              .filterOrElse(
                  progress -> progress.job().equals(id.get()),
                  progress -> "progress is of another job than its key")
              .map(progress -> Optional.of(new JournalEntry.Progressed(progress)));
      case CANCELLED_PREFIX -> Either.right(Optional.of(new JournalEntry.Cancelled(id.get())));
      default -> Either.left("key " + record.key() + " is of an unknown kind");
    };
  }

  /** Returns the entries of all records that can be decoded, and logs the others. */
  static List<JournalEntry> decodeAll(List<StoreRecord> records, DecisionLog log) {
    List<JournalEntry> entries = new ArrayList<>();
    for (StoreRecord record : records) {
      Either<String, Optional<JournalEntry>> decoded = decode(record);
      if (decoded.isLeft()) {
        log.writeUnreadable(
            "journal",
            "journal record not decodable; skipped",
            Map.of("offset", record.offset(), "reason", decoded.getLeft()));
      } else {
        decoded.get().ifPresent(entries::add);
      }
    }
    return entries;
  }
}
