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
 * Model of the stand-in log: append-only streams with a retention time and a rate limit on appends.
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
   * @param retention the time for which records are kept
   * @param appendsPerSecond the highest number of append calls accepted in one second
   */
  public static LogModel create(Duration retention, int appendsPerSecond) {
    return new LogModel(retention, appendsPerSecond);
  }

  /** Returns the number of append calls accepted so far. */
  public synchronized long totalAppends() {
    return totalAppends;
  }

  /**
   * Appends all of the given records, or none if the rate limit is reached.
   *
   * @return the offsets of the records, or empty if the rate limit is reached
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

  /**
   * Returns records of a stream in the order of their offsets.
   *
   * @param name the name of the stream
   * @param from the first offset to return
   * @param limit the highest number of records to return
   * @param now the present time, by which expired records are dropped
   */
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
   * The result of a read.
   *
   * @param firstRetained the first offset that is still retained
   * @param next the offset after the last record of the stream
   * @param records the records; empty if the requested offset is no longer retained
   */
  public record Page(long firstRetained, long next, List<StoredRecord> records) {

    /** Copies the list of records. */
    public Page {
      records = List.copyOf(records);
    }
  }
}
