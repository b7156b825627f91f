package org.hyssopport.launcher;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hyssopport.policy.Json;

/** Serves the HTTP paths for operators that are answered without the engine. */
final class OperatorHttpHandler {

  private final InstanceMetrics metrics;
  private final Timeline timeline;
  private final BooleanSupplier ready;

  /** Cuts the given failure domains off the peer link; empty unless failure tests may do so. */
  private final Optional<Consumer<Set<String>>> cutSwitch;

  OperatorHttpHandler(
      InstanceMetrics metrics,
      Timeline timeline,
      BooleanSupplier ready,
      Optional<Consumer<Set<String>>> cutSwitch) {
    this.metrics = metrics;
    this.timeline = timeline;
    this.ready = ready;
    this.cutSwitch = cutSwitch;
  }

  /** Answers the request and returns true, or returns false if this handler has no such path. */
  boolean serve(HttpExchange exchange, String path) throws IOException {
    switch (path) {
      case "/healthz" -> sendText(exchange, 200, "ok\n");
      case "/readyz" -> {
        boolean isReady = ready.getAsBoolean();
        sendText(exchange, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
      }
      case "/metrics" -> send(exchange, 200, "text/plain; version=0.0.4", metrics.text());
      case "/timeline" -> {
        byte[] body = Json.mapper().writeValueAsBytes(timeline.after(fromParameter(exchange)));
        send(exchange, 200, "application/json", body);
      }
      case "/fault/cut" -> {
        return cutFailureDomains(exchange);
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private static long fromParameter(HttpExchange exchange) {
    String query = exchange.getRequestURI().getQuery();
    if (query == null || !query.matches("from=\\d{1,18}")) {
      return 0;
    }
    return Long.parseLong(query.substring("from=".length()));
  }

  private boolean cutFailureDomains(HttpExchange exchange) throws IOException {
    if (cutSwitch.isEmpty()) {
      return false;
    }
    JsonNode input = Json.mapper().readTree(exchange.getRequestBody().readAllBytes());
    Set<String> domains = new HashSet<>();
    input.path("domains").forEach(domain -> domains.add(domain.asText()));
    cutSwitch.get().accept(domains);
    sendText(exchange, 200, "cut " + domains + "\n");
    return true;
  }

  private static void sendText(HttpExchange exchange, int status, String body) throws IOException {
    send(exchange, status, "text/plain", body.getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpExchange exchange, int status, String type, byte[] body)
      throws IOException {
    try (exchange) {
      exchange.getResponseHeaders().set("Content-Type", type + "; charset=utf-8");
      exchange.sendResponseHeaders(status, body.length);
      exchange.getResponseBody().write(body);
    }
  }
}
