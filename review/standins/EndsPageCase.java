import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Many small tasks work on a worker when the store goes down. Until it is back, no end can be
 * acknowledged, and more tasks end than one answer of the worker lists. With TROUBLE=kill, the
 * process of the scheduler is killed instead, and the tasks end while there is none.
 */
final class EndsPageCase {

  private static final int WORKERS = 3;
  private static final int JOBS = 20;
  private static final int TASKS = 60;
  private static final long TASK_CPU = 50;
  private static final long SHORTEST_MILLIS = 6_000;
  private static final long LONGEST_MILLIS = 9_000;
  private static final long LONGEST_MILLIS_BESIDE_KILL = 6_700;
  private static final long DOWN_MILLIS = 4_000;
  private static final long LIMIT_MILLIS = 80_000;

  private static boolean kill;

  private EndsPageCase() {}

  public static void main(String[] arguments) throws Exception {
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    kill = "kill".equals(System.getenv("TROUBLE"));
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
                "zone-" + number, "svc", "r" + number + "-1", EndsPageCase::duration));
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

  /** Spreads the tasks evenly over the time between the shortest and the longest. */
  private static long duration(String task) {
    String[] parts = task.split("\\.");
    int job = Integer.parseInt(parts[0].substring(8), 16);
    int number = job * TASKS + Integer.parseInt(parts[3]);
    long longest = kill ? LONGEST_MILLIS_BESIDE_KILL : LONGEST_MILLIS;
    return SHORTEST_MILLIS
        + (longest - SHORTEST_MILLIS) * (number * 7L % (JOBS * TASKS)) / (JOBS * TASKS);
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

  private static String job() throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("spec", "text");
    ArrayNode steps = node.putArray("steps");
    steps.addObject().put("count", TASKS).put("cpu", TASK_CPU).put("memMb", 64)
        .put("estMs", LONGEST_MILLIS);
    return Http.JSON.writeValueAsString(node);
  }

  private static int run(Cell cell, Store store, List<Worker> workers, boolean trouble) throws Exception {
    Caller caller = new Caller(cell, "jobs.example", "/batch/");
    if (!caller.awaitReady(Duration.ofSeconds(25))) {
      Record.say("members not ready");
      return 2;
    }
    Thread.sleep(2_000);
    List<String> ids = new ArrayList<>();
    for (int index = 0; index < JOBS; index++) {
      String id = String.format("5c0e7a21%08x", index);
      if (!caller.submit(id, job(), 5)) {
        Record.say("job %s not accepted", id);
        return 2;
      }
      ids.add(id);
    }
    long deadline = Record.now() + 20_000;
    while (allRuns(workers).size() < JOBS * TASKS && Record.now() < deadline) {
      Thread.sleep(20);
    }
    long lastStart = allRuns(workers).stream().mapToLong(run -> run.startedAt).max().orElse(0);
    long firstEnd = allRuns(workers).stream().mapToLong(run -> run.endsAt).min().orElse(0);
    Record.say("%d tasks started, the last at %d, the first ends at %d", allRuns(workers).size(),
        lastStart, firstEnd);
    if (allRuns(workers).size() < JOBS * TASKS) {
      return 2;
    }
    if (kill) {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, firstEnd - 50 - Record.now()));
      Cell.Member leader = cell.leader();
      leader.restartLater();
      leader.signal("KILL");
    } else if (trouble) {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, firstEnd + 200 - Record.now()));
      store.setDown(true);
      Record.say("store down");
      TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
      store.setDown(false);
      Record.say("store back");
    }
    long giveUpAt = LIMIT_MILLIS;
    List<String> open = new ArrayList<>(ids);
    while (!open.isEmpty() && Record.now() < giveUpAt) {
      for (String id : List.copyOf(open)) {
        if (caller.state(id).filter("complete"::equals).isPresent()) {
          open.remove(id);
        }
      }
      Thread.sleep(500);
    }
    Thread.sleep(3_000);
    Record.say("jobs not complete: %d; most ends waiting at a worker: %d", open.size(),
        workers.stream().mapToInt(worker -> worker.mostEndsWaiting).max().orElse(0));
    return judge(allRuns(workers));
  }

  private static List<Worker.Run> allRuns(List<Worker> workers) {
    return workers.stream().flatMap(worker -> worker.runs().stream()).toList();
  }

  /** TWICE: a start after a run has ended done, if that end is taken note of. */
  private static int judge(List<Worker.Run> runs) {
    Map<String, Worker.Run> done = new HashMap<>();
    int broken = 0;
    for (Worker.Run run : runs) {
      if (run.how.equals("done") && run.notedAt >= 0) {
        done.merge(run.task, run, (first, other) -> first.endedAt <= other.endedAt ? first : other);
      }
    }
    for (Worker.Run run : runs) {
      Worker.Run earlier = done.get(run.task);
      if (earlier != null && earlier != run && run.startedAt > earlier.endedAt) {
        broken++;
        Record.line(
            "TWICE: %s run %d ended done at %d (end %d, noted at %d); run %d started at %d",
            run.task, earlier.run, earlier.endedAt, earlier.number, earlier.notedAt, run.run,
            run.startedAt);
      }
    }
    Record.say("TWICE broken for %d starts", broken);
    return broken > 0 ? 1 : 0;
  }
}
