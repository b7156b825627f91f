import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store goes down for some seconds while many jobs run. Meanwhile tasks of all jobs end, so
 * that the progress of all jobs waits to be stored when the store is back.
 */
final class LargeBatchCase {

  private static final int WORKERS = 3;
  private static final int LARGE_JOBS = 200;
  private static final long LARGE_JOB_MILLIS = 90;
  private static final int WIDTH = 60;
  private static final long TASK_CPU = 10;
  private static final long SHORT_MILLIS = 200;
  private static final long SHORTEST_TAIL_MILLIS = 10_000;
  private static final long LONGEST_TAIL_MILLIS = 34_000;
  private static final long LONGEST_START_MILLIS = 12_000;
  private static final long DOWN_MILLIS = 4_000;
  private static final int SMALL_JOBS = 10;
  private static final long SMALL_JOB_MILLIS = 800;
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final Map<String, Boolean> SMALL = new ConcurrentHashMap<>();

  private LargeBatchCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record.open(Path.of(arguments[2]));
    int result = 2;
    Cell cell = null;
    try {
      String network = Cell.freeNetwork(7);
      Store store = Store.open(network + ".4");
      putConfiguration(store);
      List<Worker> workers = new ArrayList<>();
      for (int number = 1; number <= WORKERS; number++) {
        workers.add(
            Worker.start(
                network + "." + (4 + number), "w7c1" + number, store, 64_000, 262_144,
                "zone-" + number, "svc", "r" + number + "-1", LargeBatchCase::duration));
      }
      cell = Cell.start(root, folder, network, 3, store);
      result = run(cell, store, workers, trouble);
    } catch (IOException e) {
      Record.say("the case could not run: %s", e);
    } finally {
      if (cell != null) {
        cell.end();
      }
      Record.say("result %d", result);
      Record.close();
    }
    System.exit(result);
  }

  private static long duration(String task) {
    String[] parts = task.split("\\.");
    if (SMALL.containsKey(parts[0]) || !parts[2].equals("2")) {
      return SHORT_MILLIS;
    }
    long index = Integer.parseInt(parts[3]);
    return SHORTEST_TAIL_MILLIS
        + (LONGEST_TAIL_MILLIS - SHORTEST_TAIL_MILLIS) * index / WIDTH;
  }

  private static void putConfiguration(Store store) throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("version", 3);
    ObjectNode route = node.putArray("routes").addObject();
    route.put("name", "batch").put("host", "jobs.example").put("prefix", "/batch/");
    route.put("service", "svc").put("priority", 1).put("attempts", 3);
    route.put("stretch", 4.0).put("sloMs", 3000);
    node.putArray("services").addObject().put("name", "svc").put("admissionCheck", false);
    node.putObject("limits").put("maxBodyBytes", 262_144);
    store.put("keyed.op", "config", Http.JSON.writeValueAsBytes(node));
  }

  private static String largeJob() throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("spec", "text");
    ArrayNode steps = node.putArray("steps");
    addStep(steps, WIDTH, SHORT_MILLIS);
    addStep(steps, WIDTH, SHORT_MILLIS).putArray("after").add(0);
    addStep(steps, WIDTH, LONGEST_TAIL_MILLIS).putArray("after").add(1);
    addStep(steps, 1, SHORT_MILLIS).putArray("after").add(2);
    return Http.JSON.writeValueAsString(node);
  }

  private static String smallJob() throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("spec", "text");
    addStep(node.putArray("steps"), 2, SHORT_MILLIS);
    return Http.JSON.writeValueAsString(node);
  }

  private static ObjectNode addStep(ArrayNode steps, int count, long estimate) {
    return steps.addObject().put("count", count).put("cpu", TASK_CPU).put("memMb", 64)
        .put("estMs", estimate);
  }

  private static int run(Cell cell, Store store, List<Worker> workers, boolean trouble)
      throws Exception {
    Caller caller = new Caller(cell, "jobs.example", "/batch/");
    if (!caller.awaitReady(Duration.ofSeconds(25))) {
      Record.say("members not ready");
      return 2;
    }
    Thread.sleep(2_000);
    Map<String, Boolean> accepted = new ConcurrentHashMap<>();
    ExecutorService callers = Executors.newCachedThreadPool();
    for (int index = 0; index < LARGE_JOBS; index++) {
      String id = String.format("5c0e7a21%08x", index);
      String body = largeJob();
      callers.execute(() -> submit(caller, accepted, id, body));
      Thread.sleep(LARGE_JOB_MILLIS);
    }
    long startedBy = Record.now() + LONGEST_START_MILLIS;
    while ((accepted.size() < LARGE_JOBS || runs(workers) < LARGE_JOBS * 3L * WIDTH)
        && Record.now() < startedBy) {
      Thread.sleep(50);
    }
    Thread.sleep(6_000);
    Record.say("%d large jobs accepted, %d tasks started, %d working, largest append %d bytes",
        accepted.size(), runs(workers), working(workers), store.largestAppend);
    if (accepted.size() < LARGE_JOBS) {
      return 2;
    }
    if (trouble) {
      store.setDown(true);
      Record.say("store down");
      TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
      store.setDown(false);
      Record.say("store back");
    } else {
      TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
    }
    for (int index = 0; index < SMALL_JOBS; index++) {
      String id = String.format("77aa7a21%08x", index);
      SMALL.put(id, true);
      String body = smallJob();
      callers.execute(() -> submit(caller, accepted, id, body));
      Thread.sleep(SMALL_JOB_MILLIS);
    }
    Record.say("end of the traffic: %d jobs accepted, largest append %d bytes, %d refused",
        accepted.size(), store.largestAppend, store.refusedForSize);
    Thread.sleep(FINISH_MILLIS);
    return judge(caller, workers, accepted);
  }

  /** Returns whether a task that hasn't ended done comes after steps that have all ended so. */
  private static boolean hasTurn(String id, List<Worker> workers) {
    Set<String> done = new HashSet<>();
    for (Worker worker : workers) {
      worker.runs().stream()
          .filter(run -> run.task.startsWith(id) && run.how.equals("done"))
          .forEach(run -> done.add(run.task));
    }
    int[] counts = SMALL.containsKey(id) ? new int[] {2} : new int[] {WIDTH, WIDTH, WIDTH, 1};
    for (int step = 0; step < counts.length; step++) {
      for (int index = 0; index < counts[step]; index++) {
        if (!done.contains(id + ".0." + step + "." + index)) {
          // Each step comes after the one before it, whose tasks have all ended done.
          return true;
        }
      }
    }
    return false;
  }

  private static void submit(Caller caller, Map<String, Boolean> accepted, String id, String body) {
    try {
      if (caller.submit(id, body, 5)) {
        accepted.put(id, true);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static long runs(List<Worker> workers) {
    return workers.stream().mapToLong(worker -> worker.runs().size()).sum();
  }

  private static long working(List<Worker> workers) {
    return workers.stream().mapToLong(Worker::runningCount).sum();
  }

  /**
   * LOST: finish_s after the end of the traffic, a job is not known or gets no answer, or for 3 s
   * has nothing running while a task's turn has come and under half of the capacity is in use.
   */
  private static int judge(Caller caller, List<Worker> workers, Map<String, Boolean> accepted)
      throws Exception {
    Map<String, String> states = new HashMap<>();
    for (String id : accepted.keySet()) {
      states.put(id, caller.state(id).orElse("no answer"));
    }
    Map<String, Boolean> idle = new HashMap<>();
    states.forEach(
        (id, state) -> {
          if (state.equals("queued") || state.equals("running")) {
            idle.put(id, true);
          }
        });
    long mostCpu = 0;
    long until = Record.now() + IDLE_MILLIS;
    while (Record.now() < until) {
      long cpu = 0;
      for (Worker worker : workers) {
        cpu += worker.cpuInUse(task -> TASK_CPU);
        idle.keySet().removeIf(id -> worker.runningOf(id) > 0);
      }
      mostCpu = Math.max(mostCpu, cpu);
      Thread.sleep(5);
    }
    idle.keySet().removeIf(id -> !hasTurn(id, workers));
    // Jobs that ended meanwhile are not idle.
    for (String id : List.copyOf(idle.keySet())) {
      String state = caller.state(id).orElse("no answer");
      if (!state.equals("queued") && !state.equals("running")) {
        idle.remove(id);
      }
    }
    boolean room = mostCpu < WORKERS * 64_000L / 2;
    int broken = 0;
    for (String id : accepted.keySet()) {
      String state = states.get(id);
      boolean unknown = state.equals("410") || state.equals("no answer");
      if (unknown || (room && idle.containsKey(id))) {
        broken++;
        Record.line("LOST: %s accepted, state %s, nothing running for %d ms, %d of %d cpu in use",
            id, state, IDLE_MILLIS, mostCpu, WORKERS * 64_000L);
      }
    }
    long small = idle.keySet().stream().filter(SMALL::containsKey).count();
    long smallAccepted = accepted.keySet().stream().filter(SMALL::containsKey).count();
    Record.say(
        "LOST broken for %d of %d jobs (%d of %d accepted after the outage); %d of %d cpu in use",
        broken, accepted.size(), small, smallAccepted, mostCpu, WORKERS * 64_000L);
    return broken > 0 ? 1 : 0;
  }
}
