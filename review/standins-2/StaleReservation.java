import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A worker is lost while a gang waits for its tickets: do the other queue's jobs still run? */
final class StaleReservation extends Scenario {

  private static final int WORKERS = 8;
  private static final long CPU = 64_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final String PLANS = "/plans/";
  private static final String CHECKS = "/checks/";

  private final String gang = jobId(1);
  private Advice advice;
  private boolean armed;
  private boolean struck;

  private StaleReservation(Path directory) throws IOException {
    super(directory);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new StaleReservation(Path.of(arguments[0])).play());
  }

  private static Map<String, Object> route(String name, String prefix) {
    return Json.map(
        "name", name, "host", HOST, "prefix", prefix, "service", "booking",
        "priority", 1, "attempts", 4, "stretch", 2.0, "sloMs", 1000);
  }

  @Override
  int run() throws Exception {
    store = new Store("127.0.0.1");
    Map<String, Object> plans = route("plans", PLANS);
    plans.put(
        "advice",
        Json.map(
            "decideMs", Advice.DECIDE_MILLIS, "eachMs", Advice.EACH_MILLIS,
            "validMs", Advice.VALID_MILLIS));
    store.put(
        "keyed.op",
        "config",
        Json.write(
            Json.map(
                "version", 1,
                "routes", List.of(plans, route("checks", CHECKS)),
                "services", List.of(Json.map("name", "booking", "admissionCheck", false)),
                "limits", Json.map("maxBodyBytes", 262144))));
    for (int index = 0; index < WORKERS; index++) {
      workers.add(
          new Worker(
              "i-" + (index + 1), "127.0.0.1", "ourthe", "r0", "booking", CPU, 262_144, store,
              recorder, this));
    }
    advice = new Advice("127.0.0.1", this::asked);
    try {
      cell = new Cell(3, store.address(), advice.address(), recorder);
      if (!cell.awaitReady(30_000)) {
        return NOT_RUN;
      }
      Thread.sleep(2000);
      return playJobs();
    } finally {
      advice.close();
    }
  }

  private int playJobs() throws Exception {
    // A long job has a small task on each worker, so that the scheduler looks at each all the time.
    post(CHECKS, jobId(2), 4_000, WORKERS, 100_000, false);
    Thread.sleep(500);
    // All workers are busy; they become free together.
    for (int number = 0; number < WORKERS; number++) {
      post(CHECKS, jobId(10 + number), 50_000, 1, 2500, false);
    }
    Thread.sleep(500);
    // The gang needs all workers. It asks for advice as soon as they are free.
    post(PLANS, gang, 40_000, WORKERS, 1000, true);
    awaitAsked(10_000);
    Thread.sleep(100);
    // While its first call is decided, a job of the other queue takes one worker.
    post(CHECKS, jobId(20), 30_000, 1, 3000, false);
    synchronized (this) {
      armed = true;
      askedAbout = 0;
    }
    // Its tickets expire meanwhile; once that job has ended, the gang asks again.
    if (!awaitAsked(10_000)) {
      recorder.line("the gang has not asked again");
      return NOT_RUN;
    }
    Thread.sleep(3000);
    List<String> jobs = new ArrayList<>();
    for (int number = 0; number < 6; number++) {
      String id = jobId(30 + number);
      if (post(CHECKS, id, 30_000, 1, 300, false)) {
        jobs.add(id);
      }
      Thread.sleep(500);
    }
    long trafficEnd = recorder.now();
    recorder.line("the traffic has ended");
    Thread.sleep(FINISH_MILLIS + 4000);
    return check(jobs, trafficEnd);
  }

  private int askedAbout;

  private synchronized void asked(String step, List<Object> names) {
    recorder.line("advice asked for " + step + " about " + names);
    if (step.startsWith(gang) && names.size() == WORKERS) {
      askedAbout = names.size();
      notifyAll();
      if (armed && trouble && !struck) {
        struck = true;
        Thread crash = new Thread(this::crashLater);
        crash.setDaemon(true);
        crash.start();
      }
    }
  }

  /** Loses a worker for good in the middle of the service's decision. */
  private void crashLater() {
    try {
      Thread.sleep(Advice.DECIDE_MILLIS / 2);
      workers.get(WORKERS - 1).crash();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized boolean awaitAsked(long millis) throws InterruptedException {
    long until = recorder.now() + millis;
    while (askedAbout == 0 && recorder.now() < until) {
      wait(Math.max(1, until - recorder.now()));
    }
    return askedAbout > 0;
  }

  private boolean post(String prefix, String id, long cpu, int count, long millis, boolean plan) {
    Map<String, Object> step =
        Json.map("count", count, "cpu", cpu, "memMb", 4096, "estMs", millis);
    Map<String, Object> spec = Json.map("ms", millis);
    if (count > 1) {
      step.put("maxPerServer", 1);
    }
    if (plan) {
      step.put("gang", true);
      spec.put("advised", true);
    }
    String body = Json.write(Json.map("spec", Json.write(spec), "steps", List.of(step)));
    int member = Math.floorMod(id.hashCode(), cell.size());
    Http.Answer answer = Http.send(cell.front(member), "POST", prefix + id, HOST, body, 3000);
    recorder.line("POST " + prefix + id + " to member " + member + ": " + body);
    recorder.line("answer: " + answer.status());
    return answer.status() / 100 == 2;
  }

  /**
   * For 3 s, long after the end of the traffic, an accepted job has nothing running, while there is
   * room for it twice over and under half of the capacity is in use.
   */
  private int check(List<String> jobs, long trafficEnd) {
    long from = trafficEnd + FINISH_MILLIS;
    int starved = 0;
    for (String id : jobs) {
      Http.Answer answer = Http.send(cell.front(0), "GET", CHECKS + id, HOST, "", 3000);
      recorder.line("GET " + CHECKS + id + ": " + answer.status() + " " + answer.body());
      if (!answer.body().contains("\"complete\"") && !ranBetween(id, from - 3000, from + 3000)) {
        starved++;
      }
    }
    long up = workers.stream().filter(Worker::isUp).count();
    // Once the traffic has ended, only the small tasks of the long job run.
    int running = workers.stream().mapToInt(Worker::runCount).sum();
    recorder.line(
        "workers up: " + up + "; runs: " + running + "; jobs accepted: " + jobs.size()
            + "; starved: " + starved);
    if (jobs.isEmpty()) {
      return NOT_RUN;
    }
    return starved > 0 && running <= up ? RULE_BROKEN : RULE_HELD;
  }
}
