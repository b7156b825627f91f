package org.hyssopport.launcher.cell;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hyssopport.engine.quota.OrganisationUsage;
import org.hyssopport.launcher.MetricRegistry;

/** The metrics of one member, and the server that exposes them. */
final class CellMetrics {

  private final MetricRegistry registry = MetricRegistry.create();
  private final Counter answers =
      registry.counter(
          "hyssopport_cell_answers",
          "Answers to callers by kind of request and verdict.",
          "request",
          "verdict");
  private final Counter unauthenticated =
      registry.counter(
          "hyssopport_cell_unauthenticated_calls",
          "Calls refused because their callers are not authenticated, by reason.",
          "reason");
  private final Counter configurations =
      registry.counter(
          "hyssopport_cell_configurations",
          "Configurations that came into force, by where they were got from.",
          "source");
  private final AtomicLong configurationVersion = new AtomicLong();
  private final Counter decisions =
      registry.counter(
          "hyssopport_cell_decisions", "Decisions of the scheduler by kind.", "decision");
  private final Counter admissions =
      registry.counter(
          "hyssopport_cell_admissions",
          "Decisions of the scheduler on new jobs by queue and decision.",
          "queue",
          "decision");
  private final Counter orders =
      registry.counter(
          "hyssopport_cell_orders", "Orders to workers by kind and result.", "order", "result");
  private final Counter notTaken =
      registry.counter(
          "hyssopport_cell_requests_not_taken",
          "Requests that this member was sent as the scheduler and did not take, by reason.",
          "reason");
  private final Counter leftAtTermEnd =
      registry.counter(
          "hyssopport_cell_requests_left_at_term_end",
          "Requests without an answer when a term of this member ended.",
          "progress");
  private final Counter exchangesCut =
      registry.counter(
          "hyssopport_cell_exchanges_cut",
          "Exchanges with callers that were open when the server was closed, by phase.",
          "phase");
  private final Counter unreadableRecords =
      registry.counter(
          "hyssopport_cell_unreadable_records",
          "Records of other processes that could not be read, by kind.",
          "record");
  private final Histogram answerSeconds =
      registry.secondsHistogram(
          "hyssopport_cell_answer_seconds", "Time from a caller's request to its answer.");
  private final Histogram orderSeconds =
      registry.secondsHistogram(
          "hyssopport_cell_order_seconds", "Time from an order to the worker's answer.");
  private final Histogram storeSeconds =
      registry.secondsHistogram(
          "hyssopport_cell_store_seconds",
          "Time from the first append of a journal batch until the store confirms it.");

  CellMetrics() {
    registry.gauge(
        "hyssopport_cell_configuration_version",
        "Version of the configuration in force; 0 if there is none.",
        configurationVersion::get);
  }

  /** Records that a configuration came into force. */
  void recordConfiguration(long version, String source) {
    configurationVersion.set(version);
    configurations.labelValues(source).inc();
  }

  /** Registers a gauge whose value is read at each scrape. */
  void gauge(String name, String help, LongSupplier value) {
    registry.gauge(name, help, value);
  }

  /** Registers a gauge that has a value only while it is known. */
  void gaugeIfKnown(String name, String help, Supplier<Optional<Integer>> value) {
    registry.gaugeIfKnown(name, help, value);
  }

  /** Registers the metrics of organisations, whose values are read at each scrape. */
  void registerOrganisations(Supplier<List<OrganisationUsage>> usage) {
    OrganisationMetrics.register(registry, usage);
  }

  void recordAnswer(String request, String verdict, double seconds) {
    answers.labelValues(request, verdict).inc();
    answerSeconds.observe(seconds);
  }

  /** Counts an answer to a question for the number of waiting jobs. */
  void countPendingAnswer(boolean known) {
    answers.labelValues("Pending", known ? "STATE" : "UNAVAILABLE").inc();
  }

  /** Counts a call whose caller is not authenticated. */
  void countUnauthenticated(String reason) {
    unauthenticated.labelValues(reason).inc();
  }

  /** Counts a request that this member did not take as the scheduler. */
  void countNotTaken(NotTakenReason reason) {
    notTaken.labelValues(reason.name()).inc();
  }

  /**
   * Counts the requests that an ended term leaves without an answer.
   *
   * @param returned how many it has not begun to handle, and returns to their members
   * @param handled how many it has handled, for instance those that wait for the store
   */
  void countLeftAtTermEnd(int returned, int handled) {
    leftAtTermEnd.labelValues("returned").inc(returned);
    leftAtTermEnd.labelValues("handled").inc(handled);
  }

  void countExchangesCut(String phase, int count) {
    exchangesCut.labelValues(phase).inc(count);
  }

  /** Counts a record of another process that could not be read. */
  void countUnreadableRecord(String kind) {
    unreadableRecords.labelValues(kind).inc();
  }

  void countDecision(String decision) {
    decisions.labelValues(decision).inc();
  }

  /** Counts the decision on a new job. */
  void countAdmission(String queue, String decision) {
    admissions.labelValues(queue, decision).inc();
  }

  void recordOrder(String order, String result, double seconds) {
    orders.labelValues(order, result).inc();
    orderSeconds.observe(seconds);
  }

  /** Counts an order that was given up before the worker was called. */
  void countOrderNotSent(String order, String result) {
    orders.labelValues(order, result).inc();
  }

  void recordStoreTime(double seconds) {
    storeSeconds.observe(seconds);
  }

  /** Starts a server that exposes the metrics in the text format of Prometheus. */
  HttpServer startServer(String host, int port, Executor executor) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 0);
    server.createContext("/metrics", this::serveMetrics);
    server.setExecutor(executor);
    server.start();
    return server;
  }

  private void serveMetrics(HttpExchange exchange) throws IOException {
    try (exchange) {
      exchange.getRequestBody().readAllBytes();
      byte[] text = registry.text();
      exchange.getResponseHeaders().set("Content-Type", "text/plain; version=0.0.4");
      exchange.sendResponseHeaders(200, text.length);
      exchange.getResponseBody().write(text);
    }
  }
}
