package org.hyssopport.launcher;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.platform.AppendResult;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.work.RecordCodec;
import org.hyssopport.protocol.LogClient;
import org.hyssopport.protocol.LogClient.NewRecord;

/**
 * The thread that appends to the log.
 *
 * <p>Records that wait together go in one append. Appends keep a fixed distance, so that all
 * instances together stay under the log's cap; while one waits, more records gather behind it.
 */
final class LogStreamWriter implements Runnable {

  private static final int QUEUE_CAPACITY = 1 << 14;
  private static final int MOST_RECORDS = 500;
  private static final long IDLE_WAIT_NANOS = Duration.ofMillis(200).toNanos();
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);
  private static final int MOST_TRIES = 4;

  private final LogClient client;
  private final EngineLoop loop;
  private final InstanceMetrics metrics;
  private final long distanceNanos;
  private final BoundedQueue<Effect.Append> queue = new BoundedQueue<>(QUEUE_CAPACITY);
  private final Map<StreamName, List<Effect.Append>> waiting = new LinkedHashMap<>();
  private volatile boolean stopped;
  private long nextAppendNanos = System.nanoTime();

  LogStreamWriter(
      LogClient client, EngineLoop loop, InstanceMetrics metrics, int appendsPerSecond) {
    this.client = client;
    this.loop = loop;
    this.metrics = metrics;
    this.distanceNanos = TimeUnit.SECONDS.toNanos(1) / appendsPerSecond;
  }

  void append(Effect.Append append) {
    if (!queue.offer(append)) {
      tellEnd(append.stream(), List.of(append), AppendResult.REFUSED);
    }
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      gather(queue.poll(waiting.isEmpty() ? IDLE_WAIT_NANOS : 0));
      if (waiting.isEmpty()) {
        continue;
      }
      pauseUntilAllowed();
      gather(queue.poll());
      appendFirst();
    }
  }

  private void gather(Optional<Effect.Append> first) {
    Optional<Effect.Append> next = first;
    while (next.isPresent()) {
      waiting.computeIfAbsent(next.get().stream(), key -> new ArrayList<>()).add(next.get());
      next = queue.poll();
    }
  }

  private void pauseUntilAllowed() {
    long wait = nextAppendNanos - System.nanoTime();
    if (wait > 0) {
      sleep(wait);
    }
    nextAppendNanos = Math.max(System.nanoTime(), nextAppendNanos) + distanceNanos;
  }

  private static void sleep(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(nanos);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void appendFirst() {
    StreamName stream = waiting.keySet().iterator().next();
    List<Effect.Append> all = waiting.remove(stream);
    int count = Math.min(all.size(), MOST_RECORDS);
    List<Effect.Append> batch = List.copyOf(all.subList(0, count));
    if (count < all.size()) {
      waiting.put(stream, new ArrayList<>(all.subList(count, all.size())));
    }
    AppendResult result = appendWithRetries(stream, batch);
    metrics.countAppend(result, batch.size());
    tellEnd(stream, batch, result);
  }

  /** Repeats an append only while the log surely did not take it. */
  private AppendResult appendWithRetries(StreamName stream, List<Effect.Append> batch) {
    List<NewRecord> records = new ArrayList<>();
    for (Effect.Append append : batch) {
      records.add(new NewRecord(append.recordId(), RecordCodec.encode(append.record())));
    }
    AppendResult result = client.append(stream, records).join();
    for (int attempt = 1; attempt < MOST_TRIES && result == AppendResult.REFUSED; attempt++) {
      sleep(RETRY_PAUSE.toNanos() * attempt);
      result = client.append(stream, records).join();
    }
    return result;
  }

  private void tellEnd(StreamName stream, List<Effect.Append> batch, AppendResult result) {
    List<String> ids = batch.stream().map(Effect.Append::recordId).toList();
    loop.put(new Event.AppendEnded(stream, ids, result));
  }
}
