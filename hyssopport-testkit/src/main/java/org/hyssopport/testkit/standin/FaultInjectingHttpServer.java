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
 * HTTP server that injects faults; every stand-in process of this package is built on it.
 *
 * <p>A POST to {@code /fault} replaces the current fault switches.
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
   * Binds a port on the loopback interface, without serving yet.
   *
   * @param port the port
   * @param onFaults called with the new switches after every change
   * @throws IOException if the port can't be bound
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

  /** Registers the handler of a path. */
  public void addHandler(String path, Handler handler) {
    server.createContext(path, exchange -> handleWithFaults(exchange, handler));
  }

  /** Starts to serve calls. */
  public void start() {
    server.start();
  }

  /** Returns the current fault switches. */
  public FaultSwitches faults() {
    return faults;
  }

  /** Runs an action once after a delay. */
  public void schedule(long delayMillis, Runnable action) {
    ScheduledFuture<?> unused = timer.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs an action at once and then at a fixed interval. */
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

  /**
   * Answers a call.
   *
   * <p>While answers are to be lost, closes the connection of a POST call without an answer.
   *
   * @param exchange the exchange of the call
   * @param status the HTTP status
   * @param body the body, which is sent as JSON
   */
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

  /** Handles the calls of a path. */
  public interface Handler {

    /**
     * Handles a call. The answer may be sent after this method has returned.
     *
     * @throws IOException if the body is invalid; the call is then answered with status 400
     */
    void handle(HttpCall call) throws IOException;
  }

  /**
   * A call to a stand-in.
   *
   * @param exchange the exchange of the call
   * @param body the JSON body, or an empty object if it isn't a POST
   * @param query the query parameters
   */
  public record HttpCall(HttpExchange exchange, JsonNode body, Map<String, String> query) {}
}
