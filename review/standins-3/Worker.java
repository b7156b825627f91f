import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.LongPredicate;

/**
 * One worker: runs tasks under a lease, lists what runs and what has ended, and keeps its entry in
 * the store. The text of a job's `spec` says how long a task works: `work=MILLIS`, or `work=0` for
 * tasks that last.
 */
final class Worker implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();
  static final String TOPIC = "keyed.servers";
  private static final long MAXIMUM_HOLD_MILLIS = 10_000;
  private static final long HEARTBEAT_MILLIS = 1500;

  final String id;
  private final String host;
  final String zone;
  private final Store store;
  private final Recorder recorder;
  private final Map<String, Active> running = new LinkedHashMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<String, Integer> highestOver = new HashMap<>();
  private final Thread ticker;
  private HttpServer server;
  private ExecutorService threads;
  private int port;
  private String announced;
  private String kind = "a";
  private String service = "svc";
  private int cpu;
  private long bornMillis;
  private long lifeNanos;
  private long fence;
  private long leaseUntil;
  private int lastEnd;
  private long sequence;
  private String state = "ready";
  private volatile boolean up;
  private volatile boolean entered;
  private volatile boolean closed;
  private long nextBeat;
  private LongPredicate cutOff = fence -> false;

  private static final class Active {
    private final Recorder.Run run;
    private final long doneAt;
    private long stopAt = Long.MAX_VALUE;

    private Active(Recorder.Run run, long doneAt) {
      this.run = run;
      this.doneAt = doneAt;
    }
  }

  private record Ended(int number, String task, int run, String how) {}

  Worker(String id, String host, String zone, int cpu, Store store, Recorder recorder)
      throws IOException {
    this.id = id;
    this.host = host;
    this.zone = zone;
    this.cpu = cpu;
    this.store = store;
    this.recorder = recorder;
    start();
    ticker = new Thread(this::tickAll, "worker-" + id);
    ticker.setDaemon(true);
    ticker.start();
  }

  /** Begins a life under the same id and address; it knows nothing of before. */
  synchronized void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, port), 256);
    port = server.getAddress().getPort();
    if (announced == null) {
      announced = host + ":" + port;
    }
    threads = Executors.newCachedThreadPool();
    server.setExecutor(threads);
    server.createContext("/api/run-start", exchange -> answer(exchange, this::runStart));
    server.createContext("/api/run-stop", exchange -> answer(exchange, this::runStop));
    server.createContext("/api/hold", exchange -> answer(exchange, this::hold));
    server.start();
    bornMillis = System.currentTimeMillis();
    lifeNanos = System.nanoTime() - 1_000_000L * (20_000 + (long) (Math.random() * 100_000));
    fence = 0;
    leaseUntil = 0;
    lastEnd = 0;
    state = "ready";
    up = true;
    entered = true;
    nextBeat = 0;
  }

  String realAddress() {
    return host + ":" + port;
  }

  /** Makes the entry in the store name another address, as of a proxy. */
  synchronized void announce(String address) {
    announced = address;
    nextBeat = 0;
  }

  synchronized void setService(String newService) {
    service = newService;
    nextBeat = 0;
  }

  private long clock() {
    return (System.nanoTime() - lifeNanos) / 1_000_000;
  }

  /** Ends this life without a word; the entry in the store expires later. */
  void crash() {
    synchronized (this) {
      up = false;
      for (Active active : running.values()) {
        recorder.end(active.run, "lost with its worker");
      }
      running.clear();
      ended.clear();
      highestOver.clear();
      notifyAll();
    }
    server.stop(0);
    threads.shutdownNow();
    recorder.write("%s is down", id);
  }

  /** Reports that the worker drains. */
  synchronized void drain() {
    state = "draining";
    recorder.write("%s reports draining", id);
    beat();
  }

  /** Leaves for good: everything that runs ends, and the entry in the store is removed. */
  void leave() {
    crash();
    entered = false;
    store.put(TOPIC, id, "");
    recorder.write("%s has left, its entry is removed", id);
  }

  /** Removes the entry of a worker that is down, as the store does after three heartbeats. */
  void expireEntry() {
    entered = false;
    store.put(TOPIC, id, "");
  }

  private synchronized void beat() {
    sequence++;
    ObjectNode node = MAPPER.createObjectNode();
    node.put("service", service).put("addr", announced).put("zone", zone).put("version", "1");
    node.put("slots", 8).put("state", state).put("seq", sequence).put("born", bornMillis);
    node.putObject("capacity").put("cpu", cpu).put("memMb", 262_144);
    node.putArray("labels").add(kind).add("r-" + zone);
    if (state.equals("draining")) {
      node.put("drainLeftMs", 2000);
    }
    store.put(TOPIC, id, node.toString());
  }

  private void tickAll() {
    while (!closed) {
      synchronized (this) {
        if (up) {
          tick();
        }
      }
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void tick() {
    long now = clock();
    if (entered && now >= nextBeat) {
      nextBeat = now + HEARTBEAT_MILLIS;
      beat();
    }
    boolean lapsed = now > leaseUntil;
    Iterator<Active> iterator = running.values().iterator();
    boolean any = false;
    while (iterator.hasNext()) {
      Active active = iterator.next();
      String how =
          lapsed ? "lapsed" : now >= active.stopAt ? "stopped" : now >= active.doneAt ? "done" : "";
      if (!how.isEmpty()) {
        iterator.remove();
        lastEnd++;
        ended.add(new Ended(lastEnd, active.run.task, active.run.number, how));
        highestOver.merge(active.run.task, active.run.number, Math::max);
        recorder.end(active.run, how);
        any = true;
      }
    }
    if (any) {
      notifyAll();
    }
  }

  private interface Handler {
    ObjectNode answer(JsonNode body) throws InterruptedException;
  }

  private void answer(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      JsonNode body = MAPPER.readTree(exchange.getRequestBody().readAllBytes());
      String expected = exchange.getRequestHeaders().getFirst("Hyssopport-Expect-Instance");
      ObjectNode reply;
      int status;
      synchronized (this) {
        if (!up || isCutOff(body.path("fence").asLong())) {
          return;
        }
        if (expected != null && !expected.equals(id)) {
          reply = MAPPER.createObjectNode();
          status = 421;
        } else if (body.path("fence").asLong() < fence) {
          reply = MAPPER.createObjectNode().put("reason", "fence");
          status = 409;
        } else {
          fence = body.path("fence").asLong();
          reply = handler.answer(body);
          status = reply.has("reason") ? 409 : 200;
        }
        reply.put("clockMs", clock());
        reply.put("born", bornMillis);
        if (!up || cutOff.test(body.path("fence").asLong())) {
          return;
        }
      }
      byte[] bytes = MAPPER.writeValueAsBytes(reply);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Cuts this worker off from the schedulers whose fence number fits, which tells who sent a call,
   * since all come from one loopback address. Their calls get no answer and are lost.
   */
  synchronized void cutOff(LongPredicate fences) {
    cutOff = fences;
    notifyAll();
  }

  private boolean isCutOff(long callerFence) throws InterruptedException {
    boolean lost = cutOff.test(callerFence);
    while (up && cutOff.test(callerFence)) {
      wait();
    }
    return lost;
  }

  private void extend(JsonNode body) {
    if (body.has("untilMs")) {
      long until = Math.min(body.path("untilMs").asLong(), clock() + MAXIMUM_HOLD_MILLIS);
      leaseUntil = Math.max(leaseUntil, until);
    }
  }

  private ObjectNode runStart(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    ObjectNode reply = MAPPER.createObjectNode();
    if (body.path("untilMs").asLong() <= clock()) {
      return reply.put("reason", "late");
    }
    extend(body);
    Active present = running.get(task);
    if (present != null && present.run.number == number) {
      return reply;
    }
    if (number <= highestOver.getOrDefault(task, 0) || present != null) {
      return reply.put("reason", "old");
    }
    String spec = body.path("spec").asText();
    long work = Long.parseLong(spec.replaceAll(".*work=(\\d+).*", "$1"));
    long doneAt = work == 0 ? Long.MAX_VALUE : clock() + work;
    running.put(task, new Active(recorder.begin(task, number, id), doneAt));
    return reply;
  }

  private ObjectNode runStop(JsonNode body) {
    String task = body.path("task").asText();
    int number = body.path("run").asInt();
    Active present = running.get(task);
    if (present != null && present.run.number <= number) {
      present.stopAt = Math.min(present.stopAt, clock() + 50);
    }
    highestOver.merge(task, number, Math::max);
    return MAPPER.createObjectNode();
  }

  private ObjectNode hold(JsonNode body) throws InterruptedException {
    extend(body);
    int ackedUpto = body.path("ackedUpto").asInt();
    ended.removeIf(
        each -> {
          boolean acked = each.number <= ackedUpto;
          if (acked) {
            recorder.note(each.task, each.how);
          }
          return acked;
        });
    long deadline = System.nanoTime() + body.path("waitMs").asLong() * 1_000_000;
    while (ended.isEmpty() && up && System.nanoTime() < deadline) {
      wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
    }
    ObjectNode reply = MAPPER.createObjectNode();
    ArrayNode rows = reply.putArray("running");
    for (Active active : running.values()) {
      rows.addArray().add(active.run.task).add(active.run.number).add("").add(100).add(0);
    }
    ArrayNode ends = reply.putArray("ended");
    ended.stream()
        .limit(500)
        .forEach(
            each -> ends.addArray().add(each.number).add(each.task).add(each.run).add(each.how).add(""));
    return reply;
  }

  /** Returns whether a task of the job runs here. */
  synchronized boolean runs(String job) {
    return running.keySet().stream().anyMatch(task -> task.startsWith(job + "."));
  }

  synchronized int runningTasks() {
    return running.size();
  }

  boolean isUp() {
    return up;
  }

  @Override
  public void close() {
    closed = true;
    if (up) {
      server.stop(0);
      threads.shutdownNow();
    }
  }
}
