package org.hyssopport.engine.work;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.StoredRecord;

/**
 * Follows one stream from wherever its retained part begins.
 *
 * <p>A reader that starts behind the stream's beginning holds records back until it meets a
 * checkpoint whose covered offset leaves no gap; then it restores the checkpoint and applies the
 * records after the covered offset. So all readers reach the same state.
 *
 * @param <P> the fold
 * @since 0.1
 */
public final class StreamFollower<P extends Projection> {

  private final P projection;
  private final List<StoredRecord> bufferedRecords = new ArrayList<>();
  private boolean initialized;
  private boolean started;
  private long startOffset;
  private long nextOffset;
  private Optional<Instant> lastCheckpointAt = Optional.empty();
  private Optional<Instant> firstAppliedAt = Optional.empty();

  private StreamFollower(P projection) {
    this.projection = projection;
  }

  /** Returns a follower that has read nothing yet. */
  public static <P extends Projection> StreamFollower<P> of(P projection) {
    return new StreamFollower<>(projection);
  }

  /** Returns the fold. */
  public P projection() {
    return projection;
  }

  /** Tells whether the state is known. */
  public boolean isInitialized() {
    return initialized;
  }

  /** Returns the offset of the next record to read. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns when the last checkpoint, or else the oldest record after it, was appended. */
  public Optional<Instant> oldestNeededAt() {
    return lastCheckpointAt.or(() -> firstAppliedAt);
  }

  /**
   * Takes records as read.
   *
   * @param firstRetained the first offset that the stream still keeps
   * @param records records in order, without gaps from the next offset
   * @return what was applied, in order
   */
  public List<AppliedRecord> applyRecords(long firstRetained, List<StoredRecord> records) {
    if (!started || firstRetained > nextOffset) {
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
    started = true;
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
   * A record and whether it was valid.
   *
   * @param stored the record as read
   * @param record the decoded record
   * @param valid whether it changed the state
   */
  public record AppliedRecord(StoredRecord stored, StreamRecord record, boolean valid) {}
}
