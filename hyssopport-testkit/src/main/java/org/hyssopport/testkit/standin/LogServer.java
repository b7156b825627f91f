package org.hyssopport.testkit.standin;

import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.testkit.standin.FaultInjectingHttpServer.HttpCall;

/**
 * Runs the stand-in log as a process.
 *
 * @since 0.1
 */
public final class LogServer {

  private static final int POLL_INTERVAL_MILLIS = 3;

  private final LogModel model;
  private final InstantSource clock = InstantSource.system();
  private final FaultInjectingHttpServer server;

  private LogServer(LogModel model, int port) throws IOException {
    this.model = model;
    this.server = FaultInjectingHttpServer.bind(port, faults -> {});
    server.addHandler("/streams/", this::handle);
    server.addHandler("/totals", call -> server.answer(call.exchange(), 200, model.totalAppends()));
  }

  /**
   * Starts a log.
   *
   * @param model the state of the log
   * @param port the port on the loopback interface
   * @throws IOException if the port can't be bound
   */
  public static LogServer start(LogModel model, int port) throws IOException {
    LogServer logServer = new LogServer(model, port);
    logServer.server.start();
    return logServer;
  }

  private void handle(HttpCall call) {
    String[] parts = call.exchange().getRequestURI().getPath().split("/", -1);
    StreamName stream = new StreamName(parts[2]);
    if (call.exchange().getRequestMethod().equals("POST")) {
      append(call, stream);
    } else {
      Instant waitDeadline = Instant.ofEpochMilli(Long.parseLong(call.query().get("wait-until")));
      read(call, stream, waitDeadline);
    }
  }

  private void append(HttpCall call, StreamName stream) {
    List<LogModel.NewRecord> records = new ArrayList<>();
    call.body()
        .path("records")
        .forEach(
            node ->
                records.add(
                    new LogModel.NewRecord(node.path("id").asText(), node.path("body").asText())));
    Optional<List<Long>> offsets = model.append(stream, records, clock.instant());
    if (offsets.isPresent()) {
      server.answer(call.exchange(), 200, offsets.get());
    } else {
      server.answer(call.exchange(), 429, "the cap on appends is reached");
    }
  }

  private void read(HttpCall call, StreamName stream, Instant waitDeadline) {
    long from = Long.parseLong(call.query().get("from"));
    int limit = Integer.parseInt(call.query().get("limit"));
    LogModel.Page page = model.read(stream, from, limit, clock.instant());
    boolean expired = page.firstRetained() > from;
    boolean empty = page.records().isEmpty();
    if (empty && !expired && clock.instant().isBefore(waitDeadline) && !server.faults().down()) {
      server.schedule(POLL_INTERVAL_MILLIS, () -> read(call, stream, waitDeadline));
    } else if (server.faults().down()) {
      call.exchange().close();
    } else {
      server.answer(call.exchange(), expired ? 410 : 200, page);
    }
  }
}
