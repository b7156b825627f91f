package org.hyssopport.launcher.cell;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Writes decisions and changes of state as one JSON object per line, without blocking the callers.
 *
 * <p>A line is dropped if the queue is full or the limit of lines per second is reached. The number
 * of dropped lines is written before the first line of a later second.
 */
final class DecisionLog {

  /** Holds the lines that a scheduler writes in about ten seconds of peak load. */
  private static final int QUEUE_CAPACITY = 4096;

  /** One and a half times what a scheduler writes at the peak load of the users' sites. */
  private static final int MAXIMUM_LINES_PER_SECOND = 600;

  private static final long FLUSH_CHECK_MILLIS = 5;

  private static final JsonFactory JSON = new JsonFactory();

  private final String instance;
  private final PrintStream out;
  private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong droppedLines = new AtomicLong();
  private final AtomicLong queuedLines = new AtomicLong();
  private final AtomicLong handledLines = new AtomicLong();
  private volatile Consumer<String> unreadableRecordListener = kind -> {};

  private DecisionLog(String instance, PrintStream out) {
    this.instance = instance;
    this.out = out;
  }

  private record Line(Instant at, String event, String subject, Map<String, Object> inputs) {}

  /**
   * Returns a new log and starts the daemon thread that writes its lines.
   *
   * @param instance the name of the instance, a field of each line
   * @param out the stream that the lines are written to
   */
  static DecisionLog start(String instance, PrintStream out) {
    DecisionLog log = new DecisionLog(instance, out);
    Thread thread = new Thread(log::writeAll, "decision-log");
    thread.setDaemon(true);
    thread.start();
    return log;
  }

  /**
   * Logs an event together with its subject.
   *
   * @param event what happened
   * @param subject the id of the request, job or task that the event concerns, or an empty string
   * @param inputs further fields of the line, such as the figures that led to a decision
   */
  void write(String event, String subject, Map<String, Object> inputs) {
    if (queue.offer(new Line(Instant.now(), event, subject, inputs))) {
      queuedLines.incrementAndGet();
    } else {
      droppedLines.incrementAndGet();
    }
  }

  /** Logs an event without a subject. */
  void write(String event, Map<String, Object> inputs) {
    write(event, "", inputs);
  }

  /** Waits until the lines so far are written, at the longest until a point in time. */
  void awaitWritten(InstantSource clock, Instant deadline) {
    long lines = queuedLines.get();
    while (handledLines.get() < lines && clock.instant().isBefore(deadline)) {
      if (!Threads.pause(FLUSH_CHECK_MILLIS)) {
        return;
      }
    }
  }

  /**
   * Logs that a record of another process can't be read, and tells the listener.
   *
   * @param kind the kind of record
   * @param event what can't be read, and what is done instead
   * @param inputs further fields of the line
   */
  void writeUnreadable(String kind, String event, Map<String, Object> inputs) {
    unreadableRecordListener.accept(kind);
    write(event, inputs);
  }

  /** Sets the listener that receives the kind of each record that can't be read. */
  void setUnreadableRecordListener(Consumer<String> listener) {
    unreadableRecordListener = listener;
  }

  private void writeAll() {
    long second = 0;
    int linesThisSecond = 0;
    try {
      while (true) {
        Line line = queue.take();
        long now = TimeUnit.NANOSECONDS.toSeconds(System.nanoTime());
        if (now != second) {
          second = now;
          linesThisSecond = 0;
          reportDropped();
        }
        linesThisSecond++;
        if (linesThisSecond <= MAXIMUM_LINES_PER_SECOND) {
          print(line);
        } else {
          droppedLines.incrementAndGet();
        }
        handledLines.incrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void reportDropped() {
    long count = droppedLines.getAndSet(0);
    if (count > 0) {
      print(new Line(Instant.now(), "log lines dropped", "", Map.of("count", count)));
    }
  }

  private void print(Line line) {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("at", line.at().toString());
      json.writeStringField("instance", instance);
      json.writeStringField("event", line.event());
      if (!line.subject().isEmpty()) {
        json.writeStringField("request", line.subject());
      }
      for (Map.Entry<String, Object> input : line.inputs().entrySet()) {
        if (input.getValue() instanceof Number number) {
          json.writeNumberField(input.getKey(), number.longValue());
        } else {
          json.writeStringField(input.getKey(), String.valueOf(input.getValue()));
        }
      }
      json.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException("writing a log line to memory failed", e);
    }
    out.println(text);
  }
}
