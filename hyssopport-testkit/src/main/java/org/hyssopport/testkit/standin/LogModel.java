package org.hyssopport.testkit.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.platform.StoredRecord;
import org.hyssopport.engine.platform.StreamName;

/**
 * The state of the stand-in log: append-only streams with retention and a cap on appends.
 *
 * @since 0.1
 */
public final class LogModel {

  private final Duration retention;
  private final int appendsPerSecond;
  private final Map<StreamName, Stream> streams = new HashMap<>();
  private Instant windowEnd = Instant.EPOCH;
  private int appendsInWindow;
  private long totalAppends;

  private LogModel(Duration retention, int appendsPerSecond) {
    this.retention = retention;
    this.appendsPerSecond = appendsPerSecond;
  }

  /**
   * Returns an empty log.
   *
   * @param retention how long records are kept
   * @param appendsPerSecond the most appends in one second
   */
  public static LogModel create(Duration retention, int appendsPerSecond) {
    return new LogModel(retention, appendsPerSecond);
  }

  /** Returns how many appends were taken. */
  public synchronized long totalAppends() {
    return totalAppends;
  }

  /**
   * Appends records, all or none.
   *
   * @return their offsets, or nothing if the cap is reached
   */
  public synchronized Optional<List<Long>> append(
      StreamName stream, List<NewRecord> records, Instant now) {
    if (!now.isBefore(windowEnd)) {
      windowEnd = now.plusSeconds(1);
      appendsInWindow = 0;
    }
    if (appendsInWindow >= appendsPerSecond) {
      return Optional.empty();
    }
    appendsInWindow++;
    totalAppends++;
    Stream target = streams.computeIfAbsent(stream, name -> new Stream());
    List<Long> offsets = new ArrayList<>();
    for (NewRecord record : records) {
      long offset = target.firstRetained + target.records.size();
      target.records.add(new StoredRecord(offset, record.id(), now, record.body()));
      offsets.add(offset);
    }
    return Optional.of(offsets);
  }

  /** Returns the records from an offset on. */
  public synchronized Page read(StreamName name, long from, int limit, Instant now) {
    Stream stream = streams.computeIfAbsent(name, key -> new Stream());
    stream.dropOlderThan(now.minus(retention));
    long next = stream.firstRetained + stream.records.size();
    if (from < stream.firstRetained) {
      return new Page(stream.firstRetained, next, List.of());
    }
    int start = (int) Math.min(from - stream.firstRetained, stream.records.size());
    int end = Math.min(stream.records.size(), start + limit);
    return new Page(stream.firstRetained, next, List.copyOf(stream.records.subList(start, end)));
  }

  /** One stream. */
  private static final class Stream {

    private final List<StoredRecord> records = new ArrayList<>();
    private long firstRetained;

    private void dropOlderThan(Instant oldest) {
      int expired = 0;
      while (expired < records.size() && records.get(expired).appendedAt().isBefore(oldest)) {
        expired++;
      }
      if (expired > 0) {
        records.subList(0, expired).clear();
        firstRetained += expired;
      }
    }
  }

  /**
   * A record to append.
   *
   * @param id the writer's id of the record
   * @param body the encoded record
   */
  public record NewRecord(String id, String body) {}

  /**
   * Records as read.
   *
   * @param firstRetained the first offset that is kept
   * @param next the offset after the last record
   * @param records the records; empty if the asked offset has lapsed
   */
  public record Page(long firstRetained, long next, List<StoredRecord> records) {

    /** Copies the list. */
    public Page {
      records = List.copyOf(records);
    }
  }
}
