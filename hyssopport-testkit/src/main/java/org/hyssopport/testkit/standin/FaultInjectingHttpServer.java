package org.hyssopport.testkit.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.hyssopport.policy.Json;

/**
 * An HTTP server with fault switches, the frame of every stand-in.
 *
 * @since 0.1
 */
public final class FaultInjectingHttpServer {

  private static final int BACKLOG = 1024;
  private static final String DOMAIN_HEADER = "X-Failure-Domain";

  private final HttpServer server;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final Consumer<FaultSwitches> onFaults;
  private volatile FaultSwitches faults = FaultSwitches.none();

  private FaultInjectingHttpServer(HttpServer server, Consumer<FaultSwitches> onFaults) {
    this.server = server;
    this.onFaults = onFaults;
  }

  /**
   * Takes the port.
   *
   * @param port the port on the loopback interface
   * @param onFaults hears of every change of the switches
   * @throws IOException if the port can't be taken
   */
  public static FaultInjectingHttpServer bind(int port, Consumer<FaultSwitches> onFaults)
      throws IOException {
    System.setProperty("sun.net.httpserver.nodelay", "true");
    HttpServer httpServer =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
    ExecutorService threads = Executors.newFixedThreadPool(4);
    httpServer.setExecutor(threads);
    FaultInjectingHttpServer server = new FaultInjectingHttpServer(httpServer, onFaults);
    httpServer.createContext("/fault", server::handleFaultCall);
    return server;
  }

  /** Serves a path. */
  public void addHandler(String path, Handler handler) {
    server.createContext(path, exchange -> handleWithFaults(exchange, handler));
  }

  /** Starts serving. */
  public void start() {
    server.start();
  }

  /** Returns the switches now. */
  public FaultSwitches faults() {
    return faults;
  }

  /** Runs something after a while. */
  public void schedule(long delayMillis, Runnable action) {
    ScheduledFuture<?> unused = timer.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs something again and again. */
  public void scheduleRepeatedly(long intervalMillis, Runnable action) {
    ScheduledFuture<?> unused =
        timer.scheduleAtFixedRate(action, 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  private void handleFaultCall(HttpExchange exchange) throws IOException {
    faults = Json.mapper().readValue(exchange.getRequestBody(), FaultSwitches.class);
    answersToLose.set(faults.loseAnswers());
    onFaults.accept(faults);
    write(exchange, 200, faults);
  }

  private void handleWithFaults(HttpExchange exchange, Handler handler) {
    FaultSwitches currentFaults = faults;
    String domain = exchange.getRequestHeaders().getFirst(DOMAIN_HEADER);
    if (currentFaults.down() || (domain != null && currentFaults.cutDomains().contains(domain))) {
      exchange.close();
      return;
    }
    if (currentFaults.slowMillis() > 0) {
      schedule(currentFaults.slowMillis(), () -> handle(exchange, handler));
    } else {
      handle(exchange, handler);
    }
  }

  private void handle(HttpExchange exchange, Handler handler) {
    try {
      JsonNode body =
          exchange.getRequestMethod().equals("POST")
              ? Json.mapper().readTree(exchange.getRequestBody())
              : Json.mapper().createObjectNode();
      handler.handle(new HttpCall(exchange, body, parseQuery(exchange)));
    } catch (IOException | RuntimeException e) {
      answer(exchange, 400, Map.of("cause", "INVALID"));
    }
  }

  private static Map<String, String> parseQuery(HttpExchange exchange) {
    Map<String, String> values = new HashMap<>();
    String query = exchange.getRequestURI().getQuery();
    if (query != null) {
      for (String part : query.split("&", -1)) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          values.put(part.substring(0, equals), part.substring(equals + 1));
        }
      }
    }
    return values;
  }

  /** Answers a call, unless its answer is to be lost. */
  public void answer(HttpExchange exchange, int status, Object body) {
    boolean hasEffect = exchange.getRequestMethod().equals("POST");
    if (hasEffect && answersToLose.getAndUpdate(remaining -> Math.max(0, remaining - 1)) > 0) {
      exchange.close();
      return;
    }
    try {
      write(exchange, status, body);
    } catch (IOException e) {
      exchange.close();
    }
  }

  private static void write(HttpExchange exchange, int status, Object body) throws IOException {
    byte[] bytes = Json.mapper().writeValueAsString(body).getBytes(StandardCharsets.UTF_8);
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  /** Handles a call. */
  public interface Handler {

    /** Takes the call; the answer may come later. */
    void handle(HttpCall call) throws IOException;
  }

  /**
   * A call to a stand-in.
   *
   * @param exchange the exchange to answer
   * @param body the JSON body
   * @param query the query's values
   */
  public record HttpCall(HttpExchange exchange, JsonNode body, Map<String, String> query) {}
}
