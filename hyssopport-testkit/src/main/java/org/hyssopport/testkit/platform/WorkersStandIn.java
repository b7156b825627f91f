package org.hyssopport.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.OrderResult;
import org.hyssopport.engine.scheduler.PollResult;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.engine.worker.WorkerRunReport;
import org.hyssopport.policy.Resources;
import org.hyssopport.testkit.platform.PlatformHttpServer.Call;
import org.hyssopport.testkit.platform.PlatformHttpServer.Reply;
import org.hyssopport.testkit.world.RunChecker;
import org.hyssopport.testkit.world.SimulatedWorker;
import org.hyssopport.testkit.world.SimulatedWorkers;
import org.hyssopport.testkit.world.VirtualTime;

/**
 * Simulated workers in real time, behind the platform's calls; all share one address.
 *
 * @since 0.2
 */
public final class WorkersStandIn implements AutoCloseable {

  private static final long STEP_MILLIS = 2;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long LOOK_SECONDS = 5;
  private static final String EXPECTED = "Hyssopport-Expect-Instance";

  private final VirtualTime time = new VirtualTime();
  private final SimulatedWorkers workers;
  private final PlatformHttpServer server;
  private final StoreStandIn store;
  private final Thread clock = new Thread(this::runClock, "workers-clock");
  private volatile boolean closed;

  private WorkersStandIn(
      int count, Resources capacity, PlatformHttpServer server, StoreStandIn store) {
    this.workers = SimulatedWorkers.of(time, count, capacity);
    this.server = server;
    this.store = store;
  }

  /** Opens so many workers of one size, which write themselves into a store. */
  public static WorkersStandIn open(String host, int count, Resources capacity, StoreStandIn store)
      throws IOException {
    WorkersStandIn opened =
        new WorkersStandIn(count, capacity, PlatformHttpServer.open(host, 0), store);
    opened.server.addHandler("/api/run-start", opened::start);
    opened.server.addHandler("/api/run-stop", opened::stop);
    opened.server.addHandler("/api/hold", opened::look);
    opened.server.addHandler("/api/advise", opened::advise);
    opened.clock.setDaemon(true);
    opened.clock.start();
    return opened;
  }

  /** Returns where they listen; the advice service is there too. */
  public String address() {
    return server.address();
  }

  /** Returns the judge of what they run. */
  public RunChecker history() {
    return workers.runChecker();
  }

  private void runClock() {
    long begun = System.nanoTime();
    long done = 0;
    long nextBeat = 0;
    while (!closed) {
      long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
      synchronized (this) {
        time.advance(Duration.ofMillis(elapsed - done));
      }
      done = elapsed;
      if (elapsed >= nextBeat) {
        nextBeat = elapsed + HEARTBEAT_MILLIS;
        writeAll();
      }
      try {
        Thread.sleep(STEP_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void writeAll() {
    for (int place = 0; place < workers.count(); place++) {
      WorkerDescription worker = workers.atIndex(place).describe();
      ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
      node.put("service", worker.service()).put("addr", address());
      node.put("zone", worker.failureDomain().name()).put("state", "ready");
      node.put("born", worker.incarnation()).put("slots", 8);
      node.putObject("capacity")
          .put("cpu", worker.capacity().milliProcessors())
          .put("memMb", worker.capacity().memoryMebibytes());
      node.putArray("labels").add("a").add(worker.rack());
      store.put("keyed.servers", worker.id().name(), node.toString());
    }
  }

  private SimulatedWorker worker(Call call) {
    String name = call.exchange().getRequestHeaders().getFirst(EXPECTED);
    return workers.find(new WorkerId(name));
  }

  private static RunId run(JsonNode body) {
    return new RunId(task(body.path("task").asText()), body.path("run").asInt());
  }

  private static TaskId task(String name) {
    String[] parts = name.split("\\.", -1);
    StepId step =
        new StepId(new JobId(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
    return new TaskId(step, Integer.parseInt(parts[3]));
  }

  private synchronized Reply start(Call call) throws IOException {
    JsonNode body = call.json();
    RunId ref = run(body);
    SimulatedWorker worker = worker(call);
    OrderResult result =
        worker.start(
            ref,
            workers.runChecker().stepOf(ref),
            body.path("untilMs").asLong(),
            body.path("fence").asLong());
    return ordered(worker, result);
  }

  private synchronized Reply stop(Call call) throws IOException {
    JsonNode body = call.json();
    SimulatedWorker worker = worker(call);
    return ordered(worker, worker.stop(run(body), body.path("fence").asLong()));
  }

  private static Reply ordered(SimulatedWorker worker, OrderResult result) {
    ObjectNode node =
        PlatformHttpServer.MAPPER.createObjectNode().put("clockMs", worker.clockMillis());
    return switch (result) {
      case DONE -> Reply.json(200, node);
      case FENCED -> Reply.json(409, node.put("reason", "fence"));
      case OLD_RUN -> Reply.json(409, node.put("reason", "old"));
      default -> Reply.json(409, node.put("reason", "late"));
    };
  }

  private Reply look(Call call) throws IOException, InterruptedException {
    JsonNode body = call.json();
    CompletableFuture<PollResult> answer = new CompletableFuture<>();
    SimulatedWorker worker;
    synchronized (this) {
      worker = worker(call);
      Optional<Long> until =
          body.has("untilMs") ? Optional.of(body.path("untilMs").asLong()) : Optional.empty();
      worker.poll(
          until,
          body.path("ackedUpto").asLong(),
          body.path("waitMs").asInt(),
          body.path("fence").asLong(),
          answer::complete);
    }
    try {
      PollResult result = answer.get(LOOK_SECONDS, TimeUnit.SECONDS);
      if (result instanceof PollResult.Reported reported) {
        return Reply.json(200, report(reported.report()));
      }
      return ordered(worker, OrderResult.FENCED);
    } catch (ExecutionException | TimeoutException e) {
      return Reply.empty(0);
    }
  }

  private static ObjectNode report(WorkerRunReport report) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    node.put("clockMs", report.clockMillis()).put("born", report.incarnation());
    ArrayNode running = node.putArray("running");
    for (WorkerRunReport.RunningRun each : report.running()) {
      ArrayNode row = running.addArray();
      row.add(each.run().task().toString()).add(each.run().run()).add("").add(100).add(0);
    }
    ArrayNode ended = node.putArray("ended");
    for (WorkerRunReport.EndedRun each : report.ended()) {
      ArrayNode row = ended.addArray();
      row.add(each.number()).add(each.run().task().toString()).add(each.run().run());
      row.add(each.end().name().toLowerCase(Locale.ROOT)).add("");
    }
    return node;
  }

  private Reply advise(Call call) throws IOException {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    ArrayNode good = node.putArray("good");
    for (JsonNode worker : call.json().path("workers")) {
      good.addArray().add(worker.asText()).add("ticket");
    }
    return Reply.json(200, node.put("validMs", 1500));
  }

  @Override
  public void close() {
    closed = true;
    clock.interrupt();
    server.close();
  }
}
