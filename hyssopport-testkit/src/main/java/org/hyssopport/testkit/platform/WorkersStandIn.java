package org.hyssopport.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
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
 * Runs simulated workers in real time behind the platform's HTTP protocol. All workers share one
 * address; a header of each call names the worker.
 *
 * @since 0.2
 */
public final class WorkersStandIn implements AutoCloseable {

  private static final long CLOCK_STEP_MILLIS = 2;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
  private static final long POLL_TIMEOUT_SECONDS = 5;
  private static final Duration TICKET_VALIDITY = Duration.ofMillis(1500);
  private static final String EXPECTED_INSTANCE_HEADER = "Hyssopport-Expect-Instance";

  private final VirtualTime time = new VirtualTime();
  private final SimulatedWorkers workers;
  private final PlatformHttpServer server;
  private final StoreStandIn store;
  private final Thread clockThread = new Thread(this::runClock, "workers-clock");
  private final Set<JobId> jobsWithHeldAdvice = new HashSet<>();
  private final Set<JobId> jobsWithReleasedAdvice = new HashSet<>();
  private final List<String> refusedTickets = new ArrayList<>();
  private boolean holdingAdvice;
  private volatile boolean closed;

  private WorkersStandIn(
      int count, Resources capacity, PlatformHttpServer server, StoreStandIn store) {
    this.workers = SimulatedWorkers.of(time, count, capacity);
    this.server = server;
    this.store = store;
  }

  /**
   * Starts workers that publish themselves in a store.
   *
   * @param host the address to listen on; the port is a free one
   * @param count the number of workers
   * @param capacity the capacity of each worker
   * @param store the store to which each worker's record is written every 500 ms
   * @throws IOException if no port can be bound
   */
  public static WorkersStandIn open(String host, int count, Resources capacity, StoreStandIn store)
      throws IOException {
    WorkersStandIn opened =
        new WorkersStandIn(count, capacity, PlatformHttpServer.open(host, 0), store);
    opened.server.addHandler("/api/run-start", opened::start);
    opened.server.addHandler("/api/run-stop", opened::stop);
    opened.server.addHandler("/api/hold", opened::poll);
    opened.server.addHandler("/api/advise", opened::advise);
    opened.clockThread.setDaemon(true);
    opened.clockThread.start();
    return opened;
  }

  /** Returns the host and port of the workers, which are also those of the advice service. */
  public String address() {
    return server.address();
  }

  /** Returns the checker of all runs on these workers. */
  public RunChecker runChecker() {
    return workers.runChecker();
  }

  /**
   * Lets the first runs of a job's gangs fail, with several members that end as failed together.
   */
  public synchronized void failGangs(JobId job, int runs, int members) {
    workers.setFailingGangMembers(members);
    workers.setPlannedFailures(job, runs);
  }

  /** Holds all calls for advice from now on until the advice on their job is released. */
  public synchronized void holdAdvice() {
    holdingAdvice = true;
  }

  /** Returns whether a call for advice on a step of the job is or was held. */
  public synchronized boolean hasHeldAdvice(JobId job) {
    return jobsWithHeldAdvice.contains(job);
  }

  /** Answers the calls for advice on the steps of a job, held ones and later ones. */
  public synchronized void releaseAdvice(JobId job) {
    jobsWithReleasedAdvice.add(job);
    notifyAll();
  }

  /**
   * Returns a line for each start that was refused since its ticket is not one of its step and
   * worker.
   */
  public synchronized List<String> refusedTickets() {
    return List.copyOf(refusedTickets);
  }

  private void runClock() {
    long startNanos = System.nanoTime();
    long advancedMillis = 0;
    long nextHeartbeat = 0;
    while (!closed) {
      long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      synchronized (this) {
        time.advance(Duration.ofMillis(elapsed - advancedMillis));
      }
      advancedMillis = elapsed;
      if (elapsed >= nextHeartbeat) {
        nextHeartbeat = elapsed + HEARTBEAT_INTERVAL_MILLIS;
        writeWorkerRecords();
      }
      try {
        Thread.sleep(CLOCK_STEP_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void writeWorkerRecords() {
    for (int index = 0; index < workers.count(); index++) {
      WorkerDescription worker = workers.atIndex(index).describe();
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

  private SimulatedWorker addressedWorker(Call call) {
    String name = call.exchange().getRequestHeaders().getFirst(EXPECTED_INSTANCE_HEADER);
    return workers.find(new WorkerId(name));
  }

  private static RunId parseRunId(JsonNode body) {
    return new RunId(parseTaskId(body.path("task").asText()), body.path("run").asInt());
  }

  private static TaskId parseTaskId(String name) {
    int lastDot = name.lastIndexOf('.');
    return new TaskId(
        parseStepId(name.substring(0, lastDot)), Integer.parseInt(name.substring(lastDot + 1)));
  }

  private static StepId parseStepId(String name) {
    String[] parts = name.split("\\.", -1);
    return new StepId(new JobId(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
  }

  private synchronized Reply start(Call call) throws IOException {
    JsonNode body = call.json();
    RunId runId = parseRunId(body);
    SimulatedWorker worker = addressedWorker(call);
    String ticket = body.path("ticket").asText();
    if (!workers.tickets().isFor(runId.task().step(), worker.id(), ticket)) {
      refusedTickets.add(runId + " with " + ticket);
      return orderReply(worker, OrderResult.NO_TICKET);
    }
    OrderResult result =
        worker.start(
            runId,
            workers.runChecker().stepOf(runId),
            body.path("untilMs").asLong(),
            body.path("fence").asLong(),
            Optional.of(ticket));
    return orderReply(worker, result);
  }

  private synchronized Reply stop(Call call) throws IOException {
    JsonNode body = call.json();
    SimulatedWorker worker = addressedWorker(call);
    return orderReply(worker, worker.stop(parseRunId(body), body.path("fence").asLong()));
  }

  private static Reply orderReply(SimulatedWorker worker, OrderResult result) {
    ObjectNode node =
        PlatformHttpServer.MAPPER.createObjectNode().put("clockMs", worker.clockMillis());
    return switch (result) {
      case DONE -> Reply.json(200, node);
      case FENCED -> Reply.json(409, node.put("reason", "fence"));
      case OLD_RUN -> Reply.json(409, node.put("reason", "old"));
      case NO_TICKET -> Reply.json(409, node.put("reason", "ticket"));
      default -> Reply.json(409, node.put("reason", "late"));
    };
  }

  private Reply poll(Call call) throws IOException, InterruptedException {
    JsonNode body = call.json();
    CompletableFuture<PollResult> answer = new CompletableFuture<>();
    SimulatedWorker worker;
    synchronized (this) {
      worker = addressedWorker(call);
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
      PollResult result = answer.get(POLL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      if (result instanceof PollResult.Reported reported) {
        return Reply.json(200, encodeReport(reported.report()));
      }
      return orderReply(worker, OrderResult.FENCED);
    } catch (ExecutionException | TimeoutException e) {
      return Reply.empty(0);
    }
  }

  private static ObjectNode encodeReport(WorkerRunReport report) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    node.put("clockMs", report.clockMillis()).put("born", report.incarnation());
    ArrayNode running = node.putArray("running");
    for (WorkerRunReport.RunningRun runningRun : report.running()) {
      ArrayNode row = running.addArray();
      row.add(runningRun.run().task().toString())
          .add(runningRun.run().number())
          .add("")
          .add(100)
          .add(0);
    }
    ArrayNode ended = node.putArray("ended");
    for (WorkerRunReport.EndedRun endedRun : report.ended()) {
      ArrayNode row = ended.addArray();
      row.add(endedRun.endNumber())
          .add(endedRun.run().task().toString())
          .add(endedRun.run().number());
      row.add(endedRun.end().name().toLowerCase(Locale.ROOT)).add("");
    }
    return node;
  }

  private Reply advise(Call call) throws IOException, InterruptedException {
    JsonNode body = call.json();
    StepId step = parseStepId(body.path("step").asText());
    synchronized (this) {
      while (holdingAdvice && !jobsWithReleasedAdvice.contains(step.job())) {
        jobsWithHeldAdvice.add(step.job());
        wait();
      }
    }
    return Reply.json(200, issueTickets(step, body.path("workers")));
  }

  private synchronized ObjectNode issueTickets(StepId step, JsonNode workerIds) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    ArrayNode goodWorkers = node.putArray("good");
    workers.tickets().requireFor(step.job());
    for (JsonNode id : workerIds) {
      SimulatedWorker worker = workers.find(new WorkerId(id.asText()));
      goodWorkers
          .addArray()
          .add(id.asText())
          .add(workers.tickets().issue(step, worker, TICKET_VALIDITY));
    }
    return node.put("validMs", TICKET_VALIDITY.toMillis());
  }

  @Override
  public void close() {
    closed = true;
    clockThread.interrupt();
    server.close();
  }
}
