import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One hopeless job beside services: do the jobs that come after it run? */
final class StarvedJobs extends Scenario {

  private static final int WORKERS = 3;
  private static final long CPU = 64_000;
  private static final long MEMORY = 262_144;
  private static final int JOBS_BEFORE = 10;
  private static final int JOBS_AFTER = 10;
  private static final long FINISH_MILLIS = 14_000;

  private StarvedJobs(Path directory) throws IOException {
    super(directory);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new StarvedJobs(Path.of(arguments[0])).play());
  }

  @Override
  int run() throws Exception {
    if (!open(3, WORKERS, CPU, MEMORY)) {
      return NOT_RUN;
    }
    // A service with one task on each worker; it takes a sixteenth of the capacity.
    boolean served =
        submit(
            jobId(1),
            "{\"lasting\":true}",
            Json.map(
                "count", WORKERS, "cpu", 4000, "memMb", 4096, "estMs", 1000,
                "maxPerServer", 1, "longRunning", true));
    if (!served) {
      return NOT_RUN;
    }
    Thread.sleep(2000);
    List<String> jobs = new ArrayList<>();
    for (int number = 0; number < JOBS_BEFORE; number++) {
      jobs.add(submitBatch(100 + number));
      Thread.sleep(700);
    }
    if (trouble) {
      // One of 21 jobs can never be done: each run of its tasks fails.
      submit(
          jobId(2),
          "{\"ms\":300,\"fails\":true}",
          Json.map("count", 8, "cpu", 4000, "memMb", 4096, "estMs", 300));
    }
    Thread.sleep(3000);
    for (int number = 0; number < JOBS_AFTER; number++) {
      jobs.add(submitBatch(200 + number));
      Thread.sleep(700);
    }
    long trafficEnd = recorder.now();
    recorder.line("the traffic has ended");
    Thread.sleep(FINISH_MILLIS + 4000);
    return check(jobs, trafficEnd);
  }

  private String submitBatch(int number) throws Exception {
    String id = jobId(number);
    submit(
        id,
        "{\"ms\":300}",
        Json.map("count", 2, "cpu", 4000, "memMb", 4096, "estMs", 300));
    return id;
  }

  /**
   * For 3 s, long after the end of the traffic, an accepted job has nothing running, while there is
   * room for it twice over and under half of the capacity is in use.
   */
  private int check(List<String> jobs, long trafficEnd) {
    int starved = 0;
    long from = trafficEnd + FINISH_MILLIS;
    for (String id : jobs) {
      if (!accepted.containsKey(id)) {
        continue;
      }
      String state = state(id, 0);
      boolean ended = state.equals("complete");
      if (!ended && !ranBetween(id, from - 3000, from + 3000)) {
        recorder.line(
            "job " + id + " is " + state + " and has had nothing running from "
                + (from - 3000) + " to " + (from + 3000));
        starved++;
      }
    }
    long used = workers.stream().mapToLong(worker -> worker.runCount() * 4000L).sum();
    recorder.line(
        "workers up: " + workers.stream().filter(Worker::isUp).count() + " of " + workers.size()
            + "; in use: " + used + " of " + WORKERS * CPU + " thousandths of a core; accepted: "
            + jobs.stream().filter(accepted::containsKey).count() + " of " + jobs.size()
            + "; starved: " + starved);
    if (jobs.stream().noneMatch(accepted::containsKey)) {
      return NOT_RUN;
    }
    boolean room = used * 2 < WORKERS * CPU;
    return starved > 0 && room ? RULE_BROKEN : RULE_HELD;
  }
}
