import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A worker and the scheduler are lost together: is the worker's lasting task started again? */
final class LateRestart extends Scenario {

  private static final int WORKERS = 8;

  /** For 3 s, from 6 s after its last run, a lasting task may not be without a run. */
  private static final long LONGEST_GAP_MILLIS = 9_000;

  /** The 4 s before those 3 s are calm: the disruptions are over 2 s after the last run. */
  private static final long DISRUPTION_MILLIS = 2_000;

  private LateRestart(Path directory) throws IOException {
    super(directory);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new LateRestart(Path.of(arguments[0])).play());
  }

  @Override
  int run() throws Exception {
    if (!open(3, WORKERS, 64_000, 262_144)) {
      return NOT_RUN;
    }
    boolean served =
        submit(
            jobId(1),
            "{\"lasting\":true}",
            Json.map(
                "count", 3, "cpu", 4000, "memMb", 4096, "estMs", 1000,
                "maxPerServer", 1, "longRunning", true));
    if (!served) {
      return NOT_RUN;
    }
    // Longer than any lease that an earlier scheduler could have granted.
    Thread.sleep(15_000);
    String task = jobId(1) + ".0.0.0";
    Worker lost =
        workers.stream().filter(worker -> worker.runs(task)).findFirst().orElseThrow();
    long lostAt = recorder.now();
    long calmFrom = lostAt;
    if (trouble) {
      int leader = cell.leader();
      recorder.line("the scheduler is member " + leader);
      lost.crash();
      cell.kill(leader);
      Thread.sleep(500);
      cell.restart(leader);
      calmFrom = recorder.now();
    }
    Thread.sleep(25_000);
    cell.copyLogs("term begun", "run over", "placed", "worker silent");
    state(jobId(1), 0);
    return check(task, lostAt, calmFrom);
  }

  private int check(String task, long lostAt, long calmFrom) {
    List<long[]> runs;
    synchronized (spans) {
      runs = new ArrayList<>(spans.getOrDefault(task, List.of()));
    }
    if (!trouble) {
      boolean runsOn = runs.size() == 1 && runs.get(0)[1] < 0;
      recorder.line("task " + task + (runsOn ? " has run on" : " has not run on"));
      return runsOn ? RULE_HELD : RULE_BROKEN;
    }
    if (calmFrom - lostAt > DISRUPTION_MILLIS) {
      recorder.line("the disruptions took " + (calmFrom - lostAt) + " ms; no verdict");
      return NOT_RUN;
    }
    long next = Long.MAX_VALUE;
    for (long[] span : runs) {
      if (span[0] > lostAt) {
        next = Math.min(next, span[0]);
      }
    }
    boolean restarted = next != Long.MAX_VALUE;
    recorder.line(
        "task " + task + " had no run "
            + (restarted ? "for " + (next - lostAt) + " ms" : "to the end")
            + "; the disruptions were over after " + (calmFrom - lostAt) + " ms; workers up: "
            + workers.stream().filter(Worker::isUp).count());
    return restarted && next - lostAt <= LONGEST_GAP_MILLIS ? RULE_HELD : RULE_BROKEN;
  }
}
