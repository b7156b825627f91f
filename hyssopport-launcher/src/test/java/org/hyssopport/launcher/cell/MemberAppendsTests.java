package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.platform.StoreFailure;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests how a member without a scheduler shares the appends of a slow store. */
class MemberAppendsTests {

  private static final int CALLERS = 30;

  private final MonotonicClock clock = new MonotonicClock();
  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final Semaphore answers = new Semaphore(0);
  private final AtomicInteger appendCalls = new AtomicInteger();
  private final AtomicInteger keysReceived = new AtomicInteger();
  private volatile int status = 200;
  private HttpServer store;
  private MemberAppends appends;

  @BeforeEach
  void start() throws IOException {
    store = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    store.createContext("/api/log-append", this::answerAppend);
    store.setExecutor(callers);
    store.start();
    appends =
        new MemberAppends(
            MemberContexts.create(
                "127.0.0.1:" + store.getAddress().getPort(),
                clock,
                OutputStream.nullOutputStream()));
  }

  @AfterEach
  void stop() {
    answers.release(CALLERS);
    store.stop(0);
    callers.shutdownNow();
  }

  private void answerAppend(HttpExchange exchange) throws IOException {
    appendCalls.incrementAndGet();
    byte[] body = exchange.getRequestBody().readAllBytes();
    // Each record has a length of four bytes, a key of 17 characters and a value of one byte.
    keysReceived.addAndGet(body.length / 23);
    answers.acquireUninterruptibly();
    byte[] answer = "{\"offset\":0,\"end\":1}".getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(status, answer.length);
    exchange.getResponseBody().write(answer);
    exchange.close();
  }

  private CompletableFuture<Optional<Either<StoreFailure, Long>>> append(int number, long millis) {
    JournalEntry entry = new JournalEntry.Cancelled(new JobId(String.format("%016x", number)));
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return appends.append(entry, clock.instant().plusMillis(millis));
          } catch (InterruptedException e) {
            throw new CompletionException(e);
          }
        },
        callers);
  }

  private void awaitAppendCalls(int count) {
    while (appendCalls.get() < count) {
      assertTrue(Threads.pause(1));
    }
  }

  // Each request was appended by itself, and the append that begins the next term waited behind
  // all of them.
  @Test
  @Timeout(30)
  void requestsThatArriveDuringAnAppendShareTheNextOne() {
    List<CompletableFuture<Optional<Either<StoreFailure, Long>>>> results = new ArrayList<>();
    results.add(append(0, 10_000));
    awaitAppendCalls(1);
    for (int number = 1; number < CALLERS; number++) {
      results.add(append(number, 10_000));
    }
    assertTrue(Threads.pause(100));
    answers.release(CALLERS);
    results.forEach(result -> assertTrue(result.join().orElseThrow().isRight()));
    assertEquals(2, appendCalls.get());
    assertEquals(CALLERS, keysReceived.get());
  }

  @Test
  @Timeout(30)
  void requestsThatAreNotSentInTimeAreNeverSent() {
    CompletableFuture<Optional<Either<StoreFailure, Long>>> first = append(0, 10_000);
    awaitAppendCalls(1);
    assertEquals(Optional.empty(), append(1, 50).join());
    CompletableFuture<Optional<Either<StoreFailure, Long>>> third = append(2, 10_000);
    answers.release(CALLERS);
    assertTrue(first.join().orElseThrow().isRight());
    assertTrue(third.join().orElseThrow().isRight());
    assertEquals(2, keysReceived.get());
  }

  @Test
  @Timeout(30)
  void allRequestsOfRefusedAppendsAreRefusedAndTheNextOneWaits() {
    status = 503;
    answers.release(1);
    assertEquals(
        StoreFailure.Kind.NOT_DONE, append(0, 10_000).join().orElseThrow().getLeft().kind());
    status = 200;
    answers.release(1);
    assertTrue(append(1, 10_000).join().orElseThrow().isRight());
  }
}
