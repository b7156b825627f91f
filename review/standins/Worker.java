import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Stand-in of a worker that doesn't guard its capacity. It starts what it is told to, keeps ends
 * until they are acknowledged, and returns at most 500 of them in one answer.
 */
final class Worker {

  private static final int ENDS_IN_AN_ANSWER = 500;
  private static final long MAXIMUM_HOLD_MILLIS = 10_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long STOP_MILLIS = 50;
  private static final long SILENCE_MILLIS = 5_000;

  /** One run of a task on one worker, for the checks. */
  static final class Run {
    final String worker;
    final String task;
    final long run;
    final long startedAt;
    long endsAt;
    long endedAt = -1;
    String how = "";
    long number;
    boolean stopping;
    long lapseCount;

    /** When ackedUpto reached the end and no lease of the worker had lapsed since the end. */
    long notedAt = -1;

    private Run(String worker, String task, long run, long startedAt, long endsAt) {
      this.worker = worker;
      this.task = task;
      this.run = run;
      this.startedAt = startedAt;
      this.endsAt = endsAt;
    }
  }

  final String id;
  private final Http http;
  private final Store store;
  private final long cpu;
  private final long memMb;
  private final String zone;
  private final String service;
  private final String rack;
  private final ToLongFunction<String> durations;
  private final List<Run> allRuns = new ArrayList<>();
  private long sequence;

  /** What the worker knows in its present life; a later life under the same id knows nothing. */
  private long bornAt;
  private long born;
  private final Map<String, Run> running = new LinkedHashMap<>();
  private final List<Run> ended = new ArrayList<>();
  private final Map<String, Long> highestOver = new HashMap<>();
  private long fence;
  private long lastNumber;
  private long leaseUntil;
  private long lapses;
  private long lives;
  private boolean down;
  private long nextHeartbeat = Record.now();

  /** The life in which the connection from each address was first used. */
  private final Map<InetSocketAddress, Long> connections = new HashMap<>();
  volatile int mostEndsWaiting;

  private Worker(
      String id, Http http, Store store, long cpu, long memMb, String zone, String service,
      String rack, ToLongFunction<String> durations) {
    this.id = id;
    this.http = http;
    this.store = store;
    this.cpu = cpu;
    this.memMb = memMb;
    this.zone = zone;
    this.service = service;
    this.rack = rack;
    this.durations = durations;
    begin();
  }

  private void begin() {
    bornAt = Record.now();
    born = System.currentTimeMillis();
    running.clear();
    ended.clear();
    highestOver.clear();
    fence = 0;
    lastNumber = 0;
    leaseUntil = 0;
    lives++;
  }

  /**
   * Loses power: what runs is gone, and nothing is answered, also on open connections, until the
   * worker is back.
   */
  synchronized void crash() {
    down = true;
    lapses++;
    for (Run run : running.values()) {
      run.endedAt = Record.now();
      run.how = "crashed";
    }
    Record.say("%s: crashed, dark, with %d runs", id, running.size());
    running.clear();
  }

  /** Removes the entry of a worker that has been silent for three heartbeats, as the platform does. */
  void removeEntry() {
    store.put("keyed.servers", id, new byte[0]);
    Record.say("%s: entry removed", id);
  }

  /**
   * Starts again under the same id.
   *
   * @param entryAtOnce whether to write its entry at once, or when its next heartbeat is due
   */
  synchronized void restart(boolean entryAtOnce) {
    begin();
    down = false;
    if (entryAtOnce) {
      nextHeartbeat = Record.now();
    }
    Record.say("%s: back, born %d", id, born);
  }

  /** Returns whether a call may be answered; one to an earlier life is never answered. */
  private boolean isAnswered(long life) {
    return !down && life == lives;
  }

  /** Holds a call of which the worker's machine knows nothing any more, for as long as callers wait. */
  private Http.Reply silence() throws InterruptedException {
    Thread.sleep(SILENCE_MILLIS);
    return Http.Reply.none();
  }

  /**
   * Starts a worker.
   *
   * @param durations how long a task works, in milliseconds, by its name
   */
  static Worker start(
      String ip, String id, Store store, long cpu, long memMb, String zone, String service,
      String rack, ToLongFunction<String> durations)
      throws IOException {
    Worker worker =
        new Worker(id, Http.open(ip), store, cpu, memMb, zone, service, rack, durations);
    worker.http.on("/api/run-start", call -> worker.unlessDark(call, worker::start));
    worker.http.on("/api/run-stop", call -> worker.unlessDark(call, worker::stop));
    worker.http.on("/api/hold", call -> worker.unlessDark(call, worker::hold));
    Thread work = new Thread(worker::work, "work-" + id);
    work.setDaemon(true);
    work.start();
    return worker;
  }

  private Http.Reply unlessDark(Http.Call call, Http.Handler handler) throws Exception {
    long life;
    long openedIn;
    synchronized (this) {
      life = down ? -1 : lives;
      Long earlier = connections.putIfAbsent(call.exchange().getRemoteAddress(), lives);
      openedIn = earlier == null ? lives : earlier;
    }
    if (life < 0) {
      return silence();
    }
    if (openedIn != life) {
      // The new life knows nothing of a connection to an earlier one, and resets it.
      return Http.Reply.none();
    }
    Http.Reply reply = handler.answer(call);
    boolean answered;
    synchronized (this) {
      answered = isAnswered(life);
    }
    return answered ? reply : silence();
  }

  private synchronized long clock() {
    return Record.now() - bornAt;
  }

  private void work() {
    try {
      while (true) {
        synchronized (this) {
          if (!down && Record.now() >= nextHeartbeat) {
            nextHeartbeat += HEARTBEAT_MILLIS * (1 + (Record.now() - nextHeartbeat) / HEARTBEAT_MILLIS);
            report();
          }
          advance();
        }
        Thread.sleep(2);
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void report() throws IOException {
    ObjectNode node = Http.JSON.createObjectNode();
    node.put("service", service).put("addr", http.address()).put("zone", zone);
    node.put("version", "1").put("slots", 8).put("state", "ready").put("born", born);
    node.put("seq", ++sequence);
    node.putObject("capacity").put("cpu", cpu).put("memMb", memMb);
    node.putArray("labels").add("a").add(rack);
    store.put("keyed.servers", id, Http.JSON.writeValueAsString(node).getBytes(
        StandardCharsets.UTF_8));
  }

  private void advance() {
    if (down) {
      return;
    }
    if (!running.isEmpty() && clock() >= leaseUntil) {
      lapses++;
      Record.line("%s: lease lapsed with %d runs", id, running.size());
      List.copyOf(running.values()).forEach(run -> end(run, "lapsed"));
    }
    for (Run run : List.copyOf(running.values())) {
      if (Record.now() >= run.endsAt) {
        end(run, run.stopping ? "stopped" : "done");
      }
    }
  }

  private void end(Run run, String how) {
    running.remove(run.task);
    run.endedAt = Record.now();
    run.how = how;
    run.number = ++lastNumber;
    run.lapseCount = lapses;
    ended.add(run);
    mostEndsWaiting = Math.max(mostEndsWaiting, ended.size());
    highestOver.merge(run.task, run.run, Math::max);
    Record.line("%s: end %d: %s run %d %s", id, run.number, run.task, run.run, how);
    notifyAll();
  }

  private Optional<Http.Reply> refuse(Http.Call call, JsonNode body) throws IOException {
    if (call.header("Hyssopport-Expect-Instance") != null
        && !id.equals(call.header("Hyssopport-Expect-Instance"))) {
      return Optional.of(Http.Reply.empty(421));
    }
    if (body.path("fence").asLong() < fence) {
      Record.line("%s: call with fence %d refused, seen %d", id, body.path("fence").asLong(), fence);
      return Optional.of(conflict("fence"));
    }
    fence = body.path("fence").asLong();
    return Optional.empty();
  }

  private Http.Reply conflict(String reason) throws IOException {
    return Http.Reply.json(
        409, Http.JSON.createObjectNode().put("clockMs", clock()).put("reason", reason));
  }

  private Http.Reply confirm() throws IOException {
    return Http.Reply.json(
        200, Http.JSON.createObjectNode().put("clockMs", clock()).put("born", born));
  }

  private void extendLease(JsonNode body) {
    if (body.has("untilMs")) {
      long until = Math.min(body.path("untilMs").asLong(), clock() + MAXIMUM_HOLD_MILLIS);
      leaseUntil = Math.max(leaseUntil, until);
    }
  }

  private synchronized Http.Reply start(Http.Call call) throws IOException {
    if (down) {
      return Http.Reply.none();
    }
    JsonNode body = call.json();
    Optional<Http.Reply> refusal = refuse(call, body);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    if (body.path("untilMs").asLong() <= clock()) {
      return conflict("late");
    }
    advance();
    extendLease(body);
    Run current = running.get(task);
    if (current != null && current.run == run) {
      return confirm();
    }
    if (run <= highestOver.getOrDefault(task, 0L) || (current != null && run < current.run)) {
      return conflict("old");
    }
    Run begun = new Run(id, task, run, Record.now(), Record.now() + durations.applyAsLong(task));
    running.put(task, begun);
    allRuns.add(begun);
    Record.line("%s: start %s run %d fence %d", id, task, run, fence);
    return confirm();
  }

  private synchronized Http.Reply stop(Http.Call call) throws IOException {
    JsonNode body = call.json();
    Optional<Http.Reply> refusal = refuse(call, body);
    if (refusal.isPresent()) {
      return refusal.get();
    }
    String task = body.path("task").asText();
    long run = body.path("run").asLong();
    Record.line("%s: stop %s run %d fence %d", id, task, run, fence);
    Run current = running.get(task);
    if (current != null && current.run == run) {
      if (!current.stopping) {
        current.stopping = true;
        current.endsAt = Math.min(current.endsAt, Record.now() + STOP_MILLIS);
      }
    } else {
      highestOver.merge(task, run, Math::max);
    }
    return confirm();
  }

  private Http.Reply hold(Http.Call call) throws Exception {
    JsonNode body = call.json();
    long deadline = Record.now() + Math.min(2_000, body.path("waitMs").asLong());
    synchronized (this) {
      Optional<Http.Reply> refusal = refuse(call, body);
      if (refusal.isPresent()) {
        return refusal.get();
      }
      extendLease(body);
      long ackedUpto = body.path("ackedUpto").asLong();
      for (Run run : ended) {
        if (run.number <= ackedUpto && run.lapseCount == lapses) {
          run.notedAt = Record.now();
        }
      }
      if (ended.removeIf(run -> run.number <= ackedUpto)) {
        Record.line("%s: ends up to %d acknowledged, fence %d", id, ackedUpto, fence);
      }
      long life = lives;
      while (ended.isEmpty() && Record.now() < deadline && isAnswered(life)) {
        wait(Math.max(1, Math.min(20, deadline - Record.now())));
      }
      ObjectNode node = Http.JSON.createObjectNode().put("clockMs", clock()).put("born", born);
      ArrayNode runningRows = node.putArray("running");
      for (Run run : running.values()) {
        long percent = 100;
        runningRows.addArray().add(run.task).add(run.run).add("").add(percent).add(0);
      }
      ArrayNode endedRows = node.putArray("ended");
      for (Run run : ended.subList(0, Math.min(ended.size(), ENDS_IN_AN_ANSWER))) {
        endedRows.addArray().add(run.number).add(run.task).add(run.run).add(run.how).add("");
      }
      if (ended.size() > ENDS_IN_AN_ANSWER) {
        Record.line("%s: answer holds ends %d to %d of %d, %d runs, fence %d", id,
            ended.get(0).number, ended.get(ENDS_IN_AN_ANSWER - 1).number, ended.size(),
            running.size(), fence);
      }
      return Http.Reply.json(200, node);
    }
  }

  /** Returns the cpu, in thousandths of a core, that the given demands of running tasks need. */
  synchronized long cpuInUse(ToLongFunction<String> demand) {
    return running.keySet().stream().mapToLong(demand).sum();
  }

  synchronized boolean isRunning(String task) {
    return running.containsKey(task);
  }

  synchronized int runningCount() {
    return running.size();
  }

  synchronized int runningOf(String job) {
    return (int) running.keySet().stream().filter(task -> task.startsWith(job)).count();
  }

  synchronized List<Run> runs() {
    return List.copyOf(allRuns);
  }
}
