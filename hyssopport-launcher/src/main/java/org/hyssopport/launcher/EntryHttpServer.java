package org.hyssopport.launcher;

import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.Reason;
import org.hyssopport.policy.Finding;

/**
 * Serves the HTTP interface for callers and operators.
 *
 * <p>Calls become events of the engine; each exchange stays open until the engine's answer arrives.
 * Some paths for operators are answered by the {@link OperatorHttpHandler} instead.
 */
final class EntryHttpServer {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String NO_DELAY_PROPERTY = "sun.net.httpserver.nodelay";
  private static final int MAXIMUM_BODY_BYTES = 20 * 1024 * 1024;
  private static final int THREADS = 8;
  private static final int BACKLOG = 1024;

  private final HttpServer server;
  private final EngineLoop loop;
  private final InstantSource clock;
  private final InstanceMetrics metrics;
  private final OperatorHttpHandler operatorHandler;
  private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);
  private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();
  private final AtomicLong lastHandle = new AtomicLong();

  private EntryHttpServer(
      HttpServer server,
      EngineLoop loop,
      InstantSource clock,
      InstanceMetrics metrics,
      OperatorHttpHandler operatorHandler) {
    this.server = server;
    this.loop = loop;
    this.clock = clock;
    this.metrics = metrics;
    this.operatorHandler = operatorHandler;
  }

  /** Binds the port; requests are not served before {@link #start}. */
  static EntryHttpServer bind(
      InetSocketAddress address,
      EngineLoop loop,
      InstantSource clock,
      InstanceMetrics metrics,
      OperatorHttpHandler operatorHandler)
      throws IOException {
    System.setProperty(NO_DELAY_PROPERTY, "true");
    HttpServer server = HttpServer.create(address, BACKLOG);
    return new EntryHttpServer(server, loop, clock, metrics, operatorHandler);
  }

  void start() {
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
  }

  int pendingCallCount() {
    return pendingCalls.size();
  }

  /** Waits until all pending calls are answered or the timeout has passed, and then stops. */
  void stop(Duration timeout) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    while (!pendingCalls.isEmpty() && System.nanoTime() < deadlineNanos) {
      try {
        TimeUnit.MILLISECONDS.sleep(10);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
    }
    server.stop(0);
    threads.shutdown();
  }

  /** Answers the call with the given handle, if it still waits for its answer. */
  void answer(long handle, Answer answer) {
    PendingCall call = pendingCalls.remove(handle);
    if (call != null) {
      threads.execute(() -> write(call, HttpAnswer.of(answer)));
    }
  }

  private void handle(HttpExchange exchange) {
    PendingCall call = new PendingCall(exchange, System.nanoTime());
    try {
      String path = exchange.getRequestURI().getPath();
      if (!operatorHandler.serve(exchange, path)) {
        route(call, exchange.getRequestMethod(), path);
      }
    } catch (IOException e) {
      exchange.close();
    } catch (RuntimeException e) {
      LOGGER.atWarning().withCause(e).log("request failed unexpectedly; answering with status 500");
      write(call, HttpAnswer.ofFindings(500, List.of(new Finding("", "internal fault")), 0));
    }
  }

  private void route(PendingCall call, String method, String path) throws IOException {
    String body = method.equals("POST") ? readBody(call.exchange()) : "";
    if (body == null) {
      Finding finding = new Finding("", "input is over " + MAXIMUM_BODY_BYTES + " bytes");
      write(call, HttpAnswer.ofFindings(413, List.of(finding), 0));
      return;
    }
    String id = path.substring(Math.min(path.length(), path.indexOf('/', 1) + 1));
    switch (method + " " + pathPattern(path)) {
      case "POST /requests" ->
          submitEvent(
              call,
              RequestBodyParser.serviceRequest(body, clock.instant()),
              (handle, value) -> new Event.RequestReceived(handle, value));
      case "GET /requests/*" -> submitEvent(call, handle -> new Event.RequestQueried(handle, id));
      case "POST /tickets" -> submitEvent(call, Event.TicketRequested::new);
      case "POST /jobs" ->
          submitEvent(
              call,
              RequestBodyParser.jobSubmission(body, clock.instant()),
              (handle, value) -> new Event.JobSubmitted(handle, value));
      case "POST /jobs/*" -> {
        if (id.equals("cancel")) {
          submitEvent(
              call,
              RequestBodyParser.jobIds(body),
              (handle, value) -> new Event.JobCancellationRequested(handle, value));
        } else {
          notFound(call, method, path);
        }
      }
      case "GET /jobs" -> submitEvent(call, Event.JobsQueried::new);
      case "GET /jobs/*" -> submitEvent(call, handle -> new Event.JobQueried(handle, id));
      case "POST /configuration" ->
          submitEvent(
              call,
              RequestBodyParser.publication(body),
              (handle, value) ->
                  new Event.ConfigurationPublishRequested(handle, value.base(), value.text()));
      case "GET /configuration" -> submitEvent(call, Event.ConfigurationQueried::new);
      case "GET /status" -> submitEvent(call, Event.StatusQueried::new);
      default -> notFound(call, method, path);
    }
  }

  private static String pathPattern(String path) {
    int slash = path.indexOf('/', 1);
    return slash < 0 ? path : path.substring(0, slash) + "/*";
  }

  private void notFound(PendingCall call, String method, String path) {
    Finding finding = new Finding("path", "there is no " + method + " " + path);
    write(call, HttpAnswer.ofFindings(404, List.of(finding), 0));
  }

  private static String readBody(HttpExchange exchange) throws IOException {
    try (InputStream in = exchange.getRequestBody()) {
      byte[] bytes = in.readNBytes(MAXIMUM_BODY_BYTES + 1);
      return bytes.length > MAXIMUM_BODY_BYTES ? null : new String(bytes, StandardCharsets.UTF_8);
    }
  }

  /** Submits the event made from the input, or answers with the findings if it is invalid. */
  private <T> void submitEvent(
      PendingCall call, Either<List<Finding>, T> input, EventFactory<T> factory) {
    if (input.isLeft()) {
      write(call, HttpAnswer.ofFindings(400, input.getLeft(), 0));
    } else {
      submitEvent(call, handle -> factory.create(handle, input.get()));
    }
  }

  /** Passes an event to the engine, or answers with status 429 if the engine's queue is full. */
  private void submitEvent(PendingCall call, LongFunction<Event> factory) {
    long handle = lastHandle.incrementAndGet();
    pendingCalls.put(handle, call);
    if (!loop.offer(factory.apply(handle))) {
      pendingCalls.remove(handle);
      Finding finding = new Finding("", Reason.OVERLOADED.text());
      write(call, HttpAnswer.ofFindings(429, List.of(finding), 1));
    }
  }

  private void write(PendingCall call, HttpAnswer answer) {
    double seconds = (double) (System.nanoTime() - call.receivedNanos()) / 1e9;
    metrics.countAnswer(answer.outcome(), answer.reason(), seconds);
    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
    HttpExchange exchange = call.exchange();
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", "application/json; charset=utf-8");
      if (answer.retryAfterSeconds() > 0) {
        String retryAfter = String.valueOf(answer.retryAfterSeconds());
        exchange.getResponseHeaders().set("Retry-After", retryAfter);
      }
      exchange.sendResponseHeaders(answer.status(), body.length);
      exchange.getResponseBody().write(body);
    } catch (IOException e) {
      LOGGER.atFine().log(
          "answer not sent, the connection to the caller failed: %s", e.getMessage());
    }
  }

  /** Creates the event that passes the parsed input of a call to the engine. */
  private interface EventFactory<T> {
    Event create(long handle, T input);
  }

  /**
   * A call of a caller or operator that waits for its answer.
   *
   * @param exchange the open HTTP exchange
   * @param receivedNanos {@link System#nanoTime} at which the request arrived
   */
  private record PendingCall(HttpExchange exchange, long receivedNanos) {}
}
