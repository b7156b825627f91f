import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A worker loses power for a second and starts again under its id. Jobs that come right after
 * that run and end on it before the scheduler's next poll. With ENTRY=at-once, the worker writes
 * its entry as soon as it is back; otherwise when its next heartbeat is due.
 */
final class RestartedWorkerCase {

  private static final int WORKERS = 8;
  private static final int ROUNDS = 10;
  private static final int JOBS_AT_ONCE = 6;
  private static final long TASK_CPU = 500;
  private static final long ANCHOR_CPU = 30_000;
  private static final long TASK_MILLIS = 50;
  private static final long ANCHOR_MILLIS = 200_000;
  private static final long QUIET_MILLIS = 7_300;
  private static final long DARK_MILLIS = 1_000;
  private static final String ANCHOR = "a0c40a2100000000";

  private RestartedWorkerCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record.open(Path.of(arguments[2]));
    int result = 2;
    Cell cell = null;
    try {
      String network = Cell.freeNetwork(12);
      Store store = Store.open(network + ".4");
      putConfiguration(store);
      List<Worker> workers = new ArrayList<>();
      for (int number = 1; number <= WORKERS; number++) {
        workers.add(
            Worker.start(
                network + "." + (4 + number), "w7c1" + number, store, 64_000, 262_144,
                "zone-" + number, "svc", "r" + number + "-1", RestartedWorkerCase::duration));
      }
      cell = Cell.start(root, folder, network, 3, store);
      result = run(cell, workers, trouble);
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
    return task.startsWith(ANCHOR) ? ANCHOR_MILLIS : TASK_MILLIS;
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

  private static String job(int count, long cpu, long estimate) throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("spec", "text");
    node.putArray("steps").addObject().put("count", count).put("cpu", cpu).put("memMb", 64)
        .put("estMs", estimate);
    return Http.JSON.writeValueAsString(node);
  }

  private static int run(Cell cell, List<Worker> workers, boolean trouble) throws Exception {
    Caller caller = new Caller(cell, "jobs.example", "/batch/");
    if (!caller.awaitReady(Duration.ofSeconds(25))) {
      Record.say("members not ready");
      return 2;
    }
    Thread.sleep(2_000);
    // One long task makes its worker the fullest one, which gets the small tasks.
    if (!caller.submit(ANCHOR, job(1, ANCHOR_CPU, ANCHOR_MILLIS), 5)) {
      return 2;
    }
    ExecutorService callers = Executors.newCachedThreadPool();
    int next = 0;
    next = submitJobs(caller, callers, next);
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(QUIET_MILLIS);
      Worker busy =
          workers.stream()
              .filter(worker -> worker.isRunning(ANCHOR + ".0.0.0"))
              .findFirst()
              .orElse(workers.get(0));
      if (trouble) {
        busy.crash();
      }
      Thread.sleep(DARK_MILLIS);
      if (trouble) {
        busy.restart("at-once".equals(System.getenv("ENTRY")));
      }
      next = submitJobs(caller, callers, next);
    }
    Thread.sleep(5_000);
    return judge(workers);
  }

  private static int submitJobs(Caller caller, ExecutorService callers, int first)
      throws IOException {
    String body = job(2, TASK_CPU, TASK_MILLIS);
    for (int index = first; index < first + JOBS_AT_ONCE; index++) {
      String id = String.format("5c0e7a21%08x", index);
      callers.execute(
          () -> {
            try {
              caller.submit(id, body, 5);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
    }
    return first + JOBS_AT_ONCE;
  }

  /** TWICE: a start after a run has ended done, if that end is taken note of. */
  private static int judge(List<Worker> workers) {
    List<Worker.Run> runs = workers.stream().flatMap(worker -> worker.runs().stream()).toList();
    Map<String, Worker.Run> done = new HashMap<>();
    for (Worker.Run run : runs) {
      if (run.how.equals("done") && run.notedAt >= 0) {
        done.merge(run.task, run, (first, other) -> first.endedAt <= other.endedAt ? first : other);
      }
    }
    int broken = 0;
    for (Worker.Run run : runs) {
      Worker.Run earlier = done.get(run.task);
      if (earlier != null && earlier != run && run.startedAt > earlier.endedAt) {
        broken++;
        Record.line(
            "TWICE: %s run %d on %s ended done at %d (end %d, noted at %d); run %d on %s at %d",
            run.task, earlier.run, earlier.worker, earlier.endedAt, earlier.number,
            earlier.notedAt, run.run, run.worker, run.startedAt);
      }
    }
    Record.say("TWICE broken for %d of %d starts", broken, runs.size());
    return broken > 0 ? 1 : 0;
  }
}
