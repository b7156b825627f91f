import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * A worker that runs tasks that last is lost for good. While its lease may still hold, the process
 * of the scheduler is killed, and so are those of its successors.
 */
final class LastingTaskCase {

  private static final int WORKERS = 8;
  private static final int TASKS = 3;
  private static final long TASK_CPU = 1_000;
  private static final long TASK_MILLIS = 1_000_000;
  private static final int KILLS = 4;
  private static final long FIRST_KILL_MILLIS = 3_000;
  private static final long KILL_INTERVAL_MILLIS = 9_700;
  private static final long ENTRY_MILLIS = 4_500;
  private static final long LAST_WAIT_MILLIS = 14_000;
  private static final String JOB = "5c0e7a2100000001";

  /** How long after a kill the process is ready again, at the longest. */
  private static final long RESTART_MILLIS = 2_000;

  /** How long the loss of the worker counts as a disruption: for_s of srv_crash in the site file. */
  private static final long LOSS_MILLIS = 4_500;

  /** The rule: from 6 s after its last run, for 3 s, if these and the 4 s before them are calm. */
  private static final long AFTER_LAST_RUN_MILLIS = 6_000;

  private static final long IDLE_MILLIS = 3_000;
  private static final long CALM_BEFORE_MILLIS = 4_000;

  private LastingTaskCase() {}

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
                "zone-" + number, "svc", "r" + number + "-1", task -> TASK_MILLIS));
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

  private static void putConfiguration(Store store) throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("version", 3);
    ObjectNode route = node.putArray("routes").addObject();
    route.put("name", "serve").put("host", "jobs.example").put("prefix", "/serve/");
    route.put("service", "svc").put("priority", 1).put("attempts", 3);
    route.put("stretch", 4.0).put("sloMs", 3000);
    node.putArray("services").addObject().put("name", "svc").put("admissionCheck", false);
    node.putObject("limits").put("maxBodyBytes", 262_144);
    store.put("keyed.op", "config", Http.JSON.writeValueAsBytes(node));
  }

  private static String job() throws IOException {
    ObjectNode node = Http.JSON.createObjectNode().put("spec", "text");
    node.putArray("steps").addObject().put("count", TASKS).put("cpu", TASK_CPU).put("memMb", 64)
        .put("estMs", 1_000).put("longRunning", true);
    return Http.JSON.writeValueAsString(node);
  }

  private static int run(Cell cell, List<Worker> workers, boolean trouble) throws Exception {
    Caller caller = new Caller(cell, "jobs.example", "/serve/");
    if (!caller.awaitReady(Duration.ofSeconds(25))) {
      Record.say("members not ready");
      return 2;
    }
    Thread.sleep(2_000);
    if (!caller.submit(JOB, job(), 5)) {
      return 2;
    }
    Thread.sleep(3_000);
    Worker home = workers.stream().filter(worker -> worker.runningCount() > 0).findFirst().get();
    Record.say("%s runs %d tasks", home.id, home.runningCount());
    List<Long> disruptions = new ArrayList<>();
    long lostAt = Record.now();
    long end = lostAt + FIRST_KILL_MILLIS + (KILLS - 1) * KILL_INTERVAL_MILLIS + LAST_WAIT_MILLIS;
    if (trouble) {
      home.crash();
      disruptions.add(lostAt + LOSS_MILLIS - RESTART_MILLIS);
      int kills = 0;
      boolean listed = true;
      while (Record.now() < end) {
        long since = Record.now() - lostAt;
        if (listed && since >= ENTRY_MILLIS) {
          listed = false;
          home.removeEntry();
        }
        if (kills < KILLS && since >= FIRST_KILL_MILLIS + kills * KILL_INTERVAL_MILLIS) {
          kills++;
          Cell.Member leader = cell.leader();
          leader.restartLater();
          disruptions.add(Record.now());
          leader.signal("KILL");
        }
        Thread.sleep(10);
      }
    } else {
      Thread.sleep(end - Record.now());
    }
    Record.say("state of the job: %s", caller.state(JOB).orElse("no answer"));
    return judge(workers, disruptions, end);
  }

  /**
   * LOST, of tasks that last: for 3 s a task doesn't run, from 6 s after its last run, while these
   * and the 4 s before them are calm. A kill is over once its process may be ready again.
   */
  private static int judge(List<Worker> workers, List<Long> disruptions, long end) {
    int broken = 0;
    for (int index = 0; index < TASKS; index++) {
      String task = JOB + ".0.0." + index;
      List<Worker.Run> runs = new ArrayList<>();
      for (Worker worker : workers) {
        worker.runs().stream().filter(run -> run.task.equals(task)).forEach(runs::add);
      }
      runs.sort((one, other) -> Long.compare(one.startedAt, other.startedAt));
      long longest = 0;
      int stretches = 0;
      for (int run = 0; run < runs.size(); run++) {
        long endedAt = runs.get(run).endedAt;
        if (endedAt < 0) {
          continue;
        }
        long nextAt = run + 1 < runs.size() ? runs.get(run + 1).startedAt : end;
        longest = Math.max(longest, nextAt - endedAt);
        for (long from = endedAt + AFTER_LAST_RUN_MILLIS; from + IDLE_MILLIS <= nextAt; ) {
          if (isCalm(disruptions, from - CALM_BEFORE_MILLIS, from + IDLE_MILLIS)) {
            stretches++;
            Record.line("LOST: %s has no run from %d to %d, its last one ended at %d", task, from,
                from + IDLE_MILLIS, endedAt);
            from += IDLE_MILLIS;
          } else {
            from += 10;
          }
        }
      }
      Record.say("%s: %d runs, without a run for %d ms", task, runs.size(), longest);
      broken += stretches > 0 ? 1 : 0;
    }
    Record.say("LOST broken for %d of %d tasks that last", broken, TASKS);
    return broken > 0 ? 1 : 0;
  }

  private static boolean isCalm(List<Long> disruptions, long from, long to) {
    return disruptions.stream().noneMatch(at -> at <= to && at + RESTART_MILLIS >= from);
  }
}
