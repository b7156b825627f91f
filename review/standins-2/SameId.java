import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The clients of two queues number their jobs alike: do the jobs of both queues run? */
final class SameId extends Scenario {

  private static final int JOBS = 10;
  private static final long FINISH_MILLIS = 14_000;
  private static final String PLANS = "/plans/";
  private static final String DEPOSITS = "/deposits/";

  /** The workers of the two services, and the names of the tasks that each has ended as done. */
  private final Set<String> done = new HashSet<>();

  private final Set<String> started = new HashSet<>();

  private SameId(Path directory) throws IOException {
    super(directory);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new SameId(Path.of(arguments[0])).play());
  }

  private static Map<String, Object> route(String name, String prefix, String service) {
    return Json.map(
        "name", name, "host", HOST, "prefix", prefix, "service", service,
        "priority", 0, "attempts", 4, "stretch", 2.0, "sloMs", 1000);
  }

  @Override
  int run() throws Exception {
    store = new Store("127.0.0.1");
    store.put(
        "keyed.op",
        "config",
        Json.write(
            Json.map(
                "version", 1,
                "routes",
                    List.of(
                        route("plans", PLANS, "booking"), route("deposits", DEPOSITS, "recon")),
                "services",
                    List.of(
                        Json.map("name", "booking", "admissionCheck", false),
                        Json.map("name", "recon", "admissionCheck", false)),
                "limits", Json.map("maxBodyBytes", 262144))));
    for (int index = 0; index < 6; index++) {
      String service = index < 3 ? "booking" : "recon";
      workers.add(
          new Worker(
              service + "-" + index, "127.0.0.1", "ourthe", "r0", service, 64_000, 262_144,
              store, recorder, this));
    }
    cell = new Cell(3, store.address(), recorder);
    if (!cell.awaitReady(30_000)) {
      return NOT_RUN;
    }
    Thread.sleep(2000);
    List<String> accepted = new ArrayList<>();
    for (int number = 0; number < JOBS; number++) {
      String plan = jobId(number);
      // With the same numbers, the two clients choose the same ids.
      String deposit = trouble ? jobId(number) : jobId(1000 + number);
      post(PLANS + plan, number);
      Thread.sleep(1200);
      if (post(DEPOSITS + deposit, number)) {
        accepted.add(deposit);
      }
      Thread.sleep(300);
    }
    Thread.sleep(FINISH_MILLIS + 3000);
    return check(accepted);
  }

  private boolean post(String path, int number) {
    String body =
        Json.write(
            Json.map(
                "spec", "{\"ms\":300,\"for\":\"" + path.split("/")[1] + " " + number + "\"}",
                "steps", List.of(Json.map("count", 1, "cpu", 1000, "memMb", 1024, "estMs", 300))));
    int member = number % cell.size();
    Http.Answer answer = Http.send(cell.front(member), "POST", path, HOST, body, 3000);
    recorder.line("POST " + path + " to member " + member + ": " + body);
    recorder.line("answer: " + answer.status());
    return answer.status() / 100 == 2;
  }

  @Override
  public void started(Worker worker, String task, int run) {
    synchronized (started) {
      started.add(worker.id.split("-")[0] + " " + task);
    }
  }

  @Override
  public void ended(Worker worker, String task, int run, String how) {
    synchronized (started) {
      if (how.equals("done")) {
        done.add(worker.id.split("-")[0] + " " + task);
      }
    }
  }

  /** Each accepted deposit has ended as done on a worker of its service, if it is complete. */
  private int check(List<String> accepted) {
    int falselyComplete = 0;
    int neverRun = 0;
    for (String id : accepted) {
      Http.Answer answer =
          Http.send(cell.front(0), "GET", DEPOSITS + id, HOST, "", 3000);
      boolean complete = answer.body().contains("\"complete\"");
      recorder.line("GET " + DEPOSITS + id + ": " + answer.status() + " " + answer.body());
      String task = "recon " + id + ".0.0.0";
      if (complete && !done.contains(task)) {
        falselyComplete++;
      }
      if (!started.contains(task)) {
        neverRun++;
      }
    }
    recorder.line(
        "deposits accepted: " + accepted.size() + "; shown as complete without a run that ended so: "
            + falselyComplete + "; never started: " + neverRun);
    if (accepted.isEmpty() && !trouble) {
      return NOT_RUN;
    }
    return falselyComplete > 0 || neverRun > 0 ? RULE_BROKEN : RULE_HELD;
  }
}
