package org.hyssopport.testkit.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.AttemptPhase;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.platform.WorkerTaskReport;
import org.hyssopport.policy.Json;
import org.hyssopport.testkit.standin.FaultInjectingHttpServer.HttpCall;

/**
 * Runs a stand-in worker as a process.
 *
 * @since 0.1
 */
public final class WorkerServer {

  private static final Duration REPORT_INTERVAL = Duration.ofMillis(100);
  private static final int MAXIMUM_REPORTS = 400;

  private final WorkerModel model;
  private final InstantSource clock = InstantSource.system();
  private final FaultInjectingHttpServer server;
  private final Deque<WorkerTaskReport> reports = new ArrayDeque<>();

  private WorkerServer(WorkerModel model, int port) throws IOException {
    this.model = model;
    this.server = FaultInjectingHttpServer.bind(port, this::applyFaults);
    server.addHandler("/lease", call -> handleCall(call, WorkerCall.AcquireLease.class));
    server.addHandler("/lease/renew", call -> handleCall(call, WorkerCall.RenewLease.class));
    server.addHandler("/lease/release", call -> handleCall(call, WorkerCall.ReleaseLease.class));
    server.addHandler("/tasks", this::handleTasks);
    server.addHandler("/tasks/stop", call -> handleCall(call, WorkerCall.StopTask.class));
    server.addHandler("/requests", this::handleRequest);
    server.addHandler("/report", call -> server.answer(call.exchange(), 200, laggingReport()));
    server.addHandler("/history", call -> server.answer(call.exchange(), 200, model.runRecords()));
  }

  /**
   * Starts a worker.
   *
   * @param model the state of the worker
   * @param port the port on the loopback interface
   * @throws IOException if the port can't be bound
   */
  public static WorkerServer start(WorkerModel model, int port) throws IOException {
    WorkerServer workerServer = new WorkerServer(model, port);
    workerServer.server.scheduleRepeatedly(REPORT_INTERVAL.toMillis(), workerServer::recordReport);
    workerServer.server.start();
    return workerServer;
  }

  private void applyFaults(FaultSwitches faults) {
    model.setFailsEverything(faults.failsEverything());
    model.setLeaving(faults.leaving());
  }

  private synchronized void recordReport() {
    reports.addLast(model.report(clock.instant()));
    if (reports.size() > MAXIMUM_REPORTS) {
      reports.removeFirst();
    }
  }

  private synchronized WorkerTaskReport laggingReport() {
    Instant visibleUntil = clock.instant().minusMillis(server.faults().lagMillis());
    WorkerTaskReport latestVisible = reports.getFirst();
    for (WorkerTaskReport report : reports) {
      if (!report.instant().isAfter(visibleUntil)) {
        latestVisible = report;
      }
    }
    return latestVisible;
  }

  private <T extends WorkerCall> void handleCall(HttpCall call, Class<T> type)
      throws JsonProcessingException {
    answer(call, model.handle(decode(call.body(), type), clock.instant()));
  }

  private static <T extends WorkerCall> T decode(JsonNode body, Class<T> type)
      throws JsonProcessingException {
    return Json.mapper().treeToValue(body, type);
  }

  private void handleTasks(HttpCall call) throws JsonProcessingException {
    if (call.exchange().getRequestMethod().equals("POST")) {
      handleCall(call, WorkerCall.StartTask.class);
    } else {
      AttemptId attempt = AttemptId.parse(call.query().get("attempt"));
      answer(call, model.handle(new WorkerCall.ReadTask(attempt), clock.instant()));
    }
  }

  private void handleRequest(HttpCall call) throws JsonProcessingException {
    WorkerCall.StartTask start = decode(call.body(), WorkerCall.StartTask.class);
    WorkerReply reply = model.handle(start, clock.instant());
    if (reply instanceof WorkerReply.AttemptState) {
      answerAtEnd(call, start.attempt());
    } else {
      answer(call, reply);
    }
  }

  private void answerAtEnd(HttpCall call, AttemptId attempt) {
    WorkerReply reply = model.handle(new WorkerCall.ReadTask(attempt), clock.instant());
    boolean running =
        reply instanceof WorkerReply.AttemptState state
            && state.view().phase() == AttemptPhase.RUNNING;
    if (!running) {
      answer(call, reply);
      return;
    }
    Instant end = model.expectedEndOf(attempt).orElse(clock.instant());
    long remainingMillis = Duration.between(clock.instant(), end).toMillis();
    long delayMillis = Math.max(1, Math.min(remainingMillis, REPORT_INTERVAL.toMillis()));
    server.schedule(delayMillis, () -> answerAtEnd(call, attempt));
  }

  private void answer(HttpCall call, WorkerReply reply) {
    Object body = reply instanceof WorkerReply.ReportRead reported ? reported.report() : reply;
    server.answer(call.exchange(), statusOf(reply), body);
  }

  private static int statusOf(WorkerReply reply) {
    if (reply instanceof WorkerReply.LeaseHeld) {
      return 409;
    }
    if (reply instanceof WorkerReply.Refused refused) {
      return switch (refused.cause()) {
        case OLD_TOKEN, FENCED -> 409;
        case TOO_LATE -> 410;
        case INVALID -> 400;
      };
    }
    return 200;
  }
}
