package org.hyssopport.launcher.cell;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

/** The metrics of one member. */
final class CellMetrics {

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter answers =
      Counter.builder()
          .name("hyssopport_cell_answers")
          .help("Answers to callers by kind of request and verdict.")
          .labelNames("request", "verdict")
          .register(registry);
  private final Counter decisions =
      Counter.builder()
          .name("hyssopport_cell_decisions")
          .help("Decisions of the scheduler by kind.")
          .labelNames("decision")
          .register(registry);
  private final Counter orders =
      Counter.builder()
          .name("hyssopport_cell_orders")
          .help("Orders to workers by kind and result.")
          .labelNames("order", "result")
          .register(registry);
  private final Histogram answerSeconds =
      seconds("hyssopport_cell_answer_seconds", "Time from a caller's request to its answer.");
  private final Histogram orderSeconds =
      seconds("hyssopport_cell_order_seconds", "Time from an order to the worker's answer.");
  private final Histogram storeSeconds =
      seconds("hyssopport_cell_store_seconds", "Time from a batch to its storage.");

  private Histogram seconds(String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
        .register(registry);
  }

  /** Registers a value that is read when the metrics are. */
  void gauge(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call((double) value.getAsLong()))
        .register(registry);
  }

  void countAnswer(String request, String verdict, double seconds) {
    answers.labelValues(request, verdict).inc();
    answerSeconds.observe(seconds);
  }

  void countDecision(String decision) {
    decisions.labelValues(decision).inc();
  }

  void countOrder(String order, String result, double seconds) {
    orders.labelValues(order, result).inc();
    orderSeconds.observe(seconds);
  }

  void observeStore(double seconds) {
    storeSeconds.observe(seconds);
  }

  /** Serves the metrics as text. */
  HttpServer serve(String host, int port, Executor executor) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 0);
    server.createContext("/metrics", this::answer);
    server.setExecutor(executor);
    server.start();
    return server;
  }

  private void answer(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      PrometheusTextFormatWriter.create().write(text, registry.scrape());
      exchange.getResponseHeaders().set("Content-Type", "text/plain; version=0.0.4");
      exchange.sendResponseHeaders(200, text.size());
      text.writeTo(exchange.getResponseBody());
    }
  }
}
