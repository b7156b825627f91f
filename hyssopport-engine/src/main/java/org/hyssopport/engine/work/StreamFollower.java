package org.hyssopport.engine.work;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.StoredRecord;

/**
 * Applies the records of one stream to a projection, starting at the first retained record.
 *
 * <p>If the first retained record is not the first record of the stream, records are buffered until
 * a checkpoint arrives that covers every record before the first retained one. The checkpoint is
 * then restored and the buffered records after the last offset that it covers are applied, so that
 * all readers reach the same state. Records that can't be decoded are skipped.
 *
 * <p>Not thread-safe. The caller reads the records from the log and passes them on.
 *
 * @param <P> the type of the projection
 * @since 0.1
 */
public final class StreamFollower<P extends Projection> {

  private final P projection;
  private final List<StoredRecord> bufferedRecords = new ArrayList<>();
  private boolean initialized;
  private boolean startOffsetKnown;
  private long startOffset;
  private long nextOffset;
  private Optional<Instant> lastCheckpointAt = Optional.empty();
  private Optional<Instant> firstAppliedAt = Optional.empty();

  private StreamFollower(P projection) {
    this.projection = projection;
  }

  /** Returns a follower that has not read any record. */
  public static <P extends Projection> StreamFollower<P> of(P projection) {
    return new StreamFollower<>(projection);
  }

  /** Returns the projection that the records are applied to. */
  public P projection() {
    return projection;
  }

  /**
   * Returns whether the projection holds the state of the stream: after the first read if the log
   * has dropped no record, otherwise once a checkpoint that covers all dropped records was read.
   */
  public boolean isInitialized() {
    return initialized;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns when the oldest record that a new reader needs was appended: the last checkpoint or, if
   * none has been read, the first record that was applied.
   */
  public Optional<Instant> oldestNeededAt() {
    return lastCheckpointAt.or(() -> firstAppliedAt);
  }

  /**
   * Applies or buffers records that were read from the stream.
   *
   * <p>Starts again at the first retained record if records were dropped before they were read.
   *
   * @param firstRetained the first offset that the stream still retains
   * @param records the records in order, without gaps from {@link #nextOffset()}
   * @return the records that were applied, in order
   */
  public List<AppliedRecord> applyRecords(long firstRetained, List<StoredRecord> records) {
    if (!startOffsetKnown || firstRetained > nextOffset) {
      restartAt(firstRetained);
    }
    List<AppliedRecord> applied = new ArrayList<>();
    for (StoredRecord stored : records) {
      if (stored.offset() >= nextOffset) {
        applyOrBuffer(stored, applied);
        nextOffset = stored.offset() + 1;
      }
    }
    return applied;
  }

  private void restartAt(long firstRetained) {
    startOffsetKnown = true;
    startOffset = firstRetained;
    nextOffset = firstRetained;
    bufferedRecords.clear();
    initialized = firstRetained == 0;
  }

  private void applyOrBuffer(StoredRecord stored, List<AppliedRecord> applied) {
    Optional<StreamRecord> decoded = RecordCodec.decode(stored.body());
    if (decoded.isEmpty()) {
      return;
    }
    StreamRecord record = decoded.get();
    if (record instanceof StreamRecord.Checkpoint checkpoint) {
      applyCheckpoint(stored, checkpoint, applied);
      return;
    }
    if (!initialized) {
      bufferedRecords.add(stored);
      return;
    }
    apply(stored, record, applied);
  }

  private void applyCheckpoint(
      StoredRecord stored, StreamRecord.Checkpoint checkpoint, List<AppliedRecord> applied) {
    lastCheckpointAt = Optional.of(stored.appendedAt());
    if (initialized || checkpoint.covered() < startOffset - 1) {
      return;
    }
    projection.restore(checkpoint.state());
    initialized = true;
    for (StoredRecord buffered : bufferedRecords) {
      if (buffered.offset() > checkpoint.covered()) {
        RecordCodec.decode(buffered.body()).ifPresent(record -> apply(buffered, record, applied));
      }
    }
    bufferedRecords.clear();
  }

  private void apply(StoredRecord stored, StreamRecord record, List<AppliedRecord> applied) {
    if (firstAppliedAt.isEmpty()) {
      firstAppliedAt = Optional.of(stored.appendedAt());
    }
    boolean valid = projection.apply(stored, record);
    applied.add(new AppliedRecord(stored, record, valid));
  }

  /**
   * A record that was applied, and whether it was valid.
   *
   * @param stored the record as read
   * @param record the decoded record
   * @param valid false if the record was not valid and changed nothing
   */
  public record AppliedRecord(StoredRecord stored, StreamRecord record, boolean valid) {}
}
