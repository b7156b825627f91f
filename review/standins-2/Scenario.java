import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** What the scenarios share: the platform, the workers, the members and a client. */
abstract class Scenario implements Worker.Listener {

  static final int RULE_HELD = 0;
  static final int RULE_BROKEN = 1;
  static final int NOT_RUN = 2;

  static final String HOST = "kiosk.example";
  static final String PREFIX = "/jobs/";

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Recorder recorder;
  final List<Worker> workers = new ArrayList<>();

  /** The spans in which each task ran: begin and end, or -1 while it runs. */
  final Map<String, List<long[]>> spans = new HashMap<>();

  final Map<String, String> accepted = new ConcurrentHashMap<>();
  Store store;
  Cell cell;

  Scenario(Path directory) throws IOException {
    recorder = new Recorder(directory.resolve("record.txt"));
  }

  /** Runs the scenario and returns the exit code of the script. */
  final int play() {
    try (recorder) {
      int result = NOT_RUN;
      try {
        result = run();
      } catch (Exception e) {
        recorder.line("the case could not run: " + e);
      } finally {
        closeAll();
      }
      recorder.line("result " + result);
      return result;
    }
  }

  abstract int run() throws Exception;

  private void closeAll() {
    try {
      if (cell != null) {
        cell.close();
      }
    } catch (IOException | InterruptedException e) {
      recorder.line("members not closed: " + e);
    }
    workers.forEach(Worker::close);
    if (store != null) {
      store.close();
    }
  }

  /** Starts the platform, the workers and the members, and waits until they are ready. */
  final boolean open(int members, int workerCount, long cpu, long memory) throws Exception {
    store = new Store("127.0.0.1");
    Map<String, Object> route =
        Json.map(
            "name", "jobs", "host", HOST, "prefix", PREFIX, "service", "booking",
            "priority", 0, "attempts", 4, "stretch", 2.0, "sloMs", 1000);
    store.put(
        "keyed.op",
        "config",
        Json.write(
            Json.map(
                "version", 1,
                "routes", List.of(route),
                "services", List.of(Json.map("name", "booking", "admissionCheck", false)),
                "limits", Json.map("maxBodyBytes", 262144))));
    for (int index = 0; index < workerCount; index++) {
      List<String> zones = List.of("ourthe", "semois", "lesse");
      String zone = zones.get(index % zones.size());
      workers.add(
          new Worker(
              "i-" + (index + 1), "127.0.0.1", zone, "r" + index / 8, "booking", cpu, memory,
              store, recorder, this));
    }
    cell = new Cell(members, store.address(), recorder);
    if (!cell.awaitReady(30_000)) {
      recorder.line("the members are not ready");
      return false;
    }
    Thread.sleep(2000);
    return true;
  }

  @Override
  public void started(Worker worker, String task, int run) {
    synchronized (spans) {
      spans.computeIfAbsent(task, each -> new ArrayList<>()).add(new long[] {recorder.now(), -1, run});
    }
  }

  @Override
  public void ended(Worker worker, String task, int run, String how) {
    synchronized (spans) {
      for (long[] span : spans.getOrDefault(task, List.of())) {
        if (span[2] == run && span[1] < 0) {
          span[1] = recorder.now();
        }
      }
    }
  }

  /** Returns whether any task of a job ran at some time in a span. */
  final boolean ranBetween(String job, long from, long to) {
    synchronized (spans) {
      return spans.entrySet().stream()
          .filter(entry -> entry.getKey().startsWith(job + "."))
          .flatMap(entry -> entry.getValue().stream())
          .anyMatch(span -> span[0] <= to && (span[1] < 0 || span[1] >= from));
    }
  }

  /** Submits a job at one member after the other until one accepts it. */
  final boolean submit(String id, String spec, Map<String, Object> step) throws Exception {
    String body = Json.write(Json.map("spec", spec, "steps", List.of(step)));
    for (int attempt = 0; attempt < 5; attempt++) {
      int member = Math.floorMod(id.hashCode() + attempt, cell.size());
      recorder.line("POST " + PREFIX + id + " to member " + member + ": " + body);
      Http.Answer answer = Http.send(cell.front(member), "POST", PREFIX + id, HOST, body, 3000);
      recorder.line("answer to POST " + id + ": " + answer.status());
      if (answer.status() >= 200 && answer.status() < 300) {
        accepted.put(id, spec);
        return true;
      }
      Thread.sleep(1000);
    }
    return false;
  }

  final String state(String id, int member) {
    Http.Answer answer = Http.send(cell.front(member), "GET", PREFIX + id, HOST, "", 3000);
    recorder.line("GET " + id + " at member " + member + ": " + answer.status() + " " + answer.body());
    return answer.status() == 200 ? Json.string(Json.object(answer.body()), "state") : String.valueOf(answer.status());
  }

  static String jobId(int number) {
    return String.format("5c0e7a21d94b%04x", number);
  }
}
