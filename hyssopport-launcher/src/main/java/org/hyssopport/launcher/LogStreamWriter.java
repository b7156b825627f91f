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
 * Appends records to the log, on its own thread, and reports the results to the engine.
 *
 * <p>Queued records of the same stream are sent in one append. A minimum interval between appends
 * keeps all instances together below the log's rate limit; records that arrive in the meantime are
 * part of the next append.
 */
final class LogStreamWriter implements Runnable {

  private static final int QUEUE_CAPACITY = 1 << 14;
  private static final int MAXIMUM_RECORDS_PER_APPEND = 500;
  private static final long IDLE_WAIT_NANOS = Duration.ofMillis(200).toNanos();
  private static final Duration RETRY_PAUSE = Duration.ofMillis(150);
  private static final int MAXIMUM_ATTEMPTS = 4;

  private final LogClient client;
  private final EngineLoop loop;
  private final InstanceMetrics metrics;
  private final long appendIntervalNanos;
  private final BoundedQueue<Effect.Append> queue = new BoundedQueue<>(QUEUE_CAPACITY);
  private final Map<StreamName, List<Effect.Append>> pendingAppends = new LinkedHashMap<>();
  private volatile boolean stopped;
  private long nextAppendNanos = System.nanoTime();

  LogStreamWriter(
      LogClient client, EngineLoop loop, InstanceMetrics metrics, int appendsPerSecond) {
    this.client = client;
    this.loop = loop;
    this.metrics = metrics;
    this.appendIntervalNanos = TimeUnit.SECONDS.toNanos(1) / appendsPerSecond;
  }

  /** Queues a record; reports it to the engine as refused if the queue is full. */
  void enqueue(Effect.Append append) {
    if (!queue.offer(append)) {
      reportResult(append.stream(), List.of(append), AppendResult.REFUSED);
    }
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      collectPending(queue.poll(pendingAppends.isEmpty() ? IDLE_WAIT_NANOS : 0));
      if (pendingAppends.isEmpty()) {
        continue;
      }
      pauseUntilAllowed();
      collectPending(queue.poll());
      appendNextBatch();
    }
  }

  private void collectPending(Optional<Effect.Append> polled) {
    Optional<Effect.Append> next = polled;
    while (next.isPresent()) {
      pendingAppends.computeIfAbsent(next.get().stream(), key -> new ArrayList<>()).add(next.get());
      next = queue.poll();
    }
  }

  private void pauseUntilAllowed() {
    long wait = nextAppendNanos - System.nanoTime();
    if (wait > 0) {
      sleep(wait);
    }
    nextAppendNanos = Math.max(System.nanoTime(), nextAppendNanos) + appendIntervalNanos;
  }

  private static void sleep(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(nanos);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void appendNextBatch() {
    StreamName stream = pendingAppends.keySet().iterator().next();
    List<Effect.Append> pending = pendingAppends.remove(stream);
    int count = Math.min(pending.size(), MAXIMUM_RECORDS_PER_APPEND);
    List<Effect.Append> batch = List.copyOf(pending.subList(0, count));
    if (count < pending.size()) {
      pendingAppends.put(stream, new ArrayList<>(pending.subList(count, pending.size())));
    }
    AppendResult result = appendWithRetries(stream, batch);
    metrics.countAppend(result, batch.size());
    reportResult(stream, batch, result);
  }

  /** Retries an append only if the log certainly did not store it. */
  private AppendResult appendWithRetries(StreamName stream, List<Effect.Append> batch) {
    List<NewRecord> records = new ArrayList<>();
    for (Effect.Append append : batch) {
      records.add(new NewRecord(append.recordId(), RecordCodec.encode(append.record())));
    }
    AppendResult result = client.append(stream, records).join();
    for (int attempt = 1; attempt < MAXIMUM_ATTEMPTS && result == AppendResult.REFUSED; attempt++) {
      sleep(RETRY_PAUSE.toNanos() * attempt);
      result = client.append(stream, records).join();
    }
    return result;
  }

  private void reportResult(StreamName stream, List<Effect.Append> batch, AppendResult result) {
    List<String> ids = batch.stream().map(Effect.Append::recordId).toList();
    loop.put(new Event.AppendEnded(stream, ids, result));
  }
}
