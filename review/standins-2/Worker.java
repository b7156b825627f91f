import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in for a worker: runs tasks under a lease, as the platform's pages say.
 *
 * <p>What a task does is read from its job's spec, a JSON object: "ms" is how long it works,
 * "fails" that it then fails, "lasting" that it runs on, "advised" that its start needs a ticket. "failIndex" limits "fails" to the task
 * with this index.
 */
final class Worker implements AutoCloseable {

  static final long STOP_MILLIS = 100;
  static final long MAXIMUM_HOLD_MILLIS = 10_000;
  private static final int MAXIMUM_ENDS = 500;
  private static final long STARTUP_MILLIS = 200;

  /** What the worker tells a scenario. */
  interface Listener {
    void started(Worker worker, String task, int run);

    void ended(Worker worker, String task, int run, String how);

    /** Is told the spec of each order to start, as the worker has read it. */
    default void ordered(Worker worker, String task, String spec) {}
  }

  private static final class Run {
    final String task;
    final int number;
    final long endsAt;
    final String end;
    long stopsAt = Long.MAX_VALUE;

    Run(String task, int number, long endsAt, String end) {
      this.task = task;
      this.number = number;
      this.endsAt = endsAt;
      this.end = end;
    }
  }

  private record End(long number, String task, int run, String how) {}

  final String id;
  final String zone;
  final String rack;
  final long cpu;
  final long memory;
  private final String service;
  private final String kind;
  private final String host;
  private final Store store;
  private final Recorder recorder;
  private final Listener listener;
  private final Thread thread = new Thread(this::work, "worker");
  private Http.Server server;
  private long born;
  private long bornNanos;
  private long fence;
  private long leaseUntil;
  private long nextEnd = 1;
  private long sequence;
  private long nextHeartbeatAt;
  private boolean up;
  private boolean draining;
  private final Map<String, Run> runs = new LinkedHashMap<>();
  private final List<End> ends = new ArrayList<>();
  private final Map<String, Integer> highestOver = new HashMap<>();

  Worker(
      String id,
      String host,
      String zone,
      String rack,
      String service,
      long cpu,
      long memory,
      Store store,
      Recorder recorder,
      Listener listener)
      throws IOException {
    this.id = id;
    this.host = host;
    this.zone = zone;
    this.rack = rack;
    this.kind = "a";
    this.service = service;
    this.cpu = cpu;
    this.memory = memory;
    this.store = store;
    this.recorder = recorder;
    this.listener = listener;
    thread.setDaemon(true);
    start();
    thread.start();
  }

  private synchronized void start() throws IOException {
    server = new Http.Server(host, 0, this::answer);
    born = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    up = true;
    nextHeartbeatAt = 0;
  }

  private long clock() {
    return (System.nanoTime() - bornNanos) / 1_000_000;
  }

  synchronized boolean isUp() {
    return up;
  }

  synchronized int runCount() {
    return runs.size();
  }

  synchronized boolean runs(String task) {
    return runs.containsKey(task);
  }

  /** Loses the worker for good: its process ends, and its entry is removed after 3 heartbeats. */
  void crash() {
    Http.Server closing;
    synchronized (this) {
      up = false;
      closing = server;
      for (Run run : List.copyOf(runs.values())) {
        recorder.line("worker " + id + " lost " + run.task + " run " + run.number);
        listener.ended(this, run.task, run.number, "lost");
      }
      runs.clear();
      notifyAll();
    }
    closing.close();
    recorder.line("worker " + id + " has crashed");
    Thread removal =
        new Thread(
            () -> {
              try {
                Thread.sleep(4500);
                store.put("keyed.servers", id, "");
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    removal.setDaemon(true);
    removal.start();
  }

  private void work() {
    try {
      while (true) {
        boolean heartbeat;
        synchronized (this) {
          heartbeat = up && clock() >= nextHeartbeatAt;
          if (heartbeat) {
            nextHeartbeatAt = clock() + 1500;
          }
          if (up) {
            advance();
          }
        }
        if (heartbeat) {
          store.put("keyed.servers", id, entry());
        }
        Thread.sleep(5);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized String entry() {
    sequence++;
    return Json.write(
        Json.map(
            "service", service,
            "addr", host + ":" + server.port(),
            "zone", zone,
            "version", "1",
            "slots", 8,
            "state", draining ? "draining" : "ready",
            "seq", sequence,
            "born", born,
            "capacity", Json.map("cpu", cpu, "memMb", memory),
            "labels", List.of(kind, rack)));
  }

  private void advance() {
    long now = clock();
    boolean lapsed = now >= leaseUntil;
    for (Iterator<Run> each = runs.values().iterator(); each.hasNext(); ) {
      Run run = each.next();
      String how = null;
      if (now >= run.stopsAt) {
        how = "stopped";
      } else if (lapsed) {
        how = "lapsed";
      } else if (now >= run.endsAt) {
        how = run.end;
      }
      if (how != null) {
        each.remove();
        end(run, how);
      }
    }
  }

  private void end(Run run, String how) {
    ends.add(new End(nextEnd++, run.task, run.number, how));
    highestOver.merge(run.task, run.number, Math::max);
    recorder.line("worker " + id + " ended " + run.task + " run " + run.number + " " + how);
    listener.ended(this, run.task, run.number, how);
    notifyAll();
  }

  private Http.Reply answer(Http.Call call) throws InterruptedException {
    String expected = call.exchange().getRequestHeaders().getFirst("Hyssopport-Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      return Http.Reply.empty(421);
    }
    Map<String, Object> body = call.json();
    return switch (call.path()) {
      case "/api/run-start" -> startRun(body);
      case "/api/run-stop" -> stopRun(body);
      case "/api/hold" -> hold(body);
      default -> Http.Reply.empty(404);
    };
  }

  private Http.Reply refusal(String reason) {
    return Http.Reply.json(409, Json.map("clockMs", clock(), "reason", reason));
  }

  private boolean isFenced(Map<String, Object> body) {
    long given = Json.number(body, "fence");
    if (given < fence) {
      return true;
    }
    fence = given;
    return false;
  }

  private void extendLease(Map<String, Object> body) {
    if (body.containsKey("untilMs")) {
      long until = Math.min(Json.number(body, "untilMs"), clock() + MAXIMUM_HOLD_MILLIS);
      leaseUntil = Math.max(leaseUntil, until);
    }
  }

  private synchronized Http.Reply startRun(Map<String, Object> body) {
    if (isFenced(body)) {
      return refusal("fence");
    }
    String task = Json.string(body, "task");
    int number = (int) Json.number(body, "run");
    Run present = runs.get(task);
    if (present != null && present.number == number) {
      extendLease(body);
      return Http.Reply.json(200, Json.map("clockMs", clock()));
    }
    if (Json.number(body, "untilMs") <= clock()) {
      return refusal("late");
    }
    extendLease(body);
    if (number <= highestOver.getOrDefault(task, 0) || present != null) {
      return refusal("old");
    }
    listener.ordered(this, task, Json.string(body, "spec"));
    Map<String, Object> spec = Json.object(Json.string(body, "spec"));
    if (Json.flag(spec, "advised")
        && !Advice.isValid(Json.string(body, "ticket"), id, task.substring(0, task.lastIndexOf('.')))) {
      return refusal("ticket");
    }
    String index = task.substring(task.lastIndexOf('.') + 1);
    boolean fails =
        Json.flag(spec, "fails")
            && (!spec.containsKey("failIndex")
                || index.equals(String.valueOf(Json.number(spec, "failIndex"))));
    long endsAt =
        Json.flag(spec, "lasting") && !fails
            ? Long.MAX_VALUE
            : clock() + STARTUP_MILLIS + Json.number(spec, "ms");
    runs.put(task, new Run(task, number, endsAt, fails ? "failed" : "done"));
    recorder.line("worker " + id + " started " + task + " run " + number);
    listener.started(this, task, number);
    return Http.Reply.json(200, Json.map("clockMs", clock()));
  }

  private synchronized Http.Reply stopRun(Map<String, Object> body) {
    if (isFenced(body)) {
      return refusal("fence");
    }
    String task = Json.string(body, "task");
    int number = (int) Json.number(body, "run");
    Run run = runs.get(task);
    if (run != null && run.number <= number) {
      run.stopsAt = Math.min(run.stopsAt, clock() + STOP_MILLIS);
      recorder.line("worker " + id + " is told to stop " + task + " run " + number);
    }
    highestOver.merge(task, number, Math::max);
    return Http.Reply.json(200, Json.map("clockMs", clock()));
  }

  private synchronized Http.Reply hold(Map<String, Object> body) throws InterruptedException {
    if (isFenced(body)) {
      return refusal("fence");
    }
    long acknowledged = Json.number(body, "ackedUpto");
    ends.removeIf(end -> end.number() <= acknowledged);
    extendLease(body);
    long waitUntil = clock() + Math.min(2000, Json.number(body, "waitMs"));
    while (up && ends.isEmpty() && clock() < waitUntil) {
      wait(Math.max(1, waitUntil - clock()));
    }
    if (!up) {
      return Http.Reply.empty(0);
    }
    List<Object> running = new ArrayList<>();
    runs.values().forEach(run -> running.add(List.of(run.task, run.number, "", 100, 0)));
    List<Object> ended = new ArrayList<>();
    for (End end : ends) {
      if (ended.size() == MAXIMUM_ENDS) {
        break;
      }
      ended.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
    }
    return Http.Reply.json(
        200, Json.map("clockMs", clock(), "born", born, "running", running, "ended", ended));
  }

  @Override
  public void close() {
    thread.interrupt();
    server.close();
  }
}
