package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobProgress;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.job.TaskProgress;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests batches of a size that gathers while the store is away.
 *
 * <p>Guards against an append that the store refuses for its size, which ended term after term.
 */
class JournalWriterTests {

  private static final int LARGEST_APPEND_BYTES = 2_097_152;
  private static final int TASKS_PER_JOB = 700;
  private static final int UNAVAILABLE = 503;

  private final List<Integer> appendedBytes = new CopyOnWriteArrayList<>();
  private final List<Integer> sequences = new CopyOnWriteArrayList<>();
  private final BlockingQueue<SchedulerEvent> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> rejections = new LinkedBlockingQueue<>();

  /** The number of the call, from 1, that is answered 503. */
  private volatile int failingCall;

  private int calls;
  private HttpServer store;
  private Thread writerThread;
  private JournalWriter writer;

  @BeforeEach
  void start() throws IOException {
    store = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    store.createContext("/api/log-append", this::append);
    store.start();
    writer =
        new JournalWriter(
            MemberContexts.create(
                "127.0.0.1:" + store.getAddress().getPort(),
                new MonotonicClock(),
                OutputStream.nullOutputStream()),
            1,
            new AtomicLong(),
            events::add,
            rejections::add);
    writerThread = new Thread(writer::run);
    writerThread.start();
  }

  @AfterEach
  void stop() {
    writerThread.interrupt();
    store.stop(0);
  }

  private void append(HttpExchange exchange) throws IOException {
    int bytes = exchange.getRequestBody().readAllBytes().length;
    calls++;
    int status = bytes > LARGEST_APPEND_BYTES ? 400 : 200;
    if (calls == failingCall) {
      status = UNAVAILABLE;
    } else if (status == 200) {
      appendedBytes.add(bytes);
      sequences.add(sequenceOf(exchange));
    }
    byte[] body = "{\"offset\":0,\"end\":1}".getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, status == 200 ? body.length : -1);
    if (status == 200) {
      exchange.getResponseBody().write(body);
    }
    exchange.close();
  }

  private static int sequenceOf(HttpExchange exchange) {
    String query = exchange.getRequestURI().getQuery();
    return Integer.parseInt(query.replaceFirst(".*\\bseq=(\\d+).*", "$1"));
  }

  private static List<JournalEntry> batch(int jobs) {
    List<JournalEntry> entries = new ArrayList<>();
    for (int job = 0; job < jobs; job++) {
      List<TaskProgress> tasks = new ArrayList<>();
      for (int task = 0; task < TASKS_PER_JOB; task++) {
        tasks.add(
            new TaskProgress(
                0,
                0,
                task,
                false,
                1,
                0,
                Optional.of(new WorkerId("worker")),
                1,
                "c".repeat(60),
                Optional.empty()));
      }
      JobId id = new JobId(String.format("%016x", job));
      entries.add(new JournalEntry.Progressed(new JobProgress(id, JobState.RUNNING, tasks)));
    }
    return entries;
  }

  private SchedulerEvent nextEvent() throws InterruptedException {
    return Optional.ofNullable(events.poll(10, TimeUnit.SECONDS)).orElseThrow();
  }

  // The progress of 200 jobs went into one append of 3.2 MB, which the store refused.
  @ParameterizedTest
  @ValueSource(ints = {1, 10, 60})
  void batchesOfAnySizeAreStored(int jobs) throws InterruptedException {
    writer.submit(batch(jobs));
    assertInstanceOf(SchedulerEvent.JournalBatchStored.class, nextEvent());
    assertEquals(List.of(), List.copyOf(rejections));
    assertTrue(appendedBytes.stream().allMatch(bytes -> bytes <= LARGEST_APPEND_BYTES));
    assertEquals(
        List.copyOf(sequences), sequences.stream().sorted().distinct().toList(), "sequences");
  }

  // Callers whose jobs are in the stored part would be told that they are not.
  @Test
  void batchesThatAreStoredInPartAreNotRefused() throws InterruptedException {
    failingCall = 2;
    writer.submit(batch(60));
    List<SchedulerEvent> seen = new ArrayList<>();
    do {
      seen.add(nextEvent());
    } while (!(seen.get(seen.size() - 1) instanceof SchedulerEvent.JournalBatchStored));
    assertTrue(seen.stream().noneMatch(SchedulerEvent.JournalBatchRefused.class::isInstance));
  }

  @Test
  void batchesOfWhichNothingIsStoredAreRefused() throws InterruptedException {
    failingCall = 1;
    writer.submit(batch(60));
    assertInstanceOf(SchedulerEvent.JournalBatchRefused.class, nextEvent());
  }
}
