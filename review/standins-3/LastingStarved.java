import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A worker with a task that lasts is emptied and taken away while the queue is busy. The task has to
 * run again elsewhere: there is room for it many times over.
 */
final class LastingStarved {

  private static final int MEMBERS = 3;
  private static final int WORKERS = 6;
  private static final int WORKER_CPU = 64_000;
  private static final double ADVICE_MS = 300;
  private static final double JOBS_PER_SECOND = 11;
  private static final double TRAFFIC_SECONDS = 35;
  private static final double DUE_SECONDS = 9;

  public static void main(String[] arguments) {
    Cell.play(arguments, LastingStarved::run);
  }

  private static int run(Cell cell, boolean trouble) throws Exception {
    cell.addWorkers(WORKERS, WORKER_CPU);
    cell.configure(3, (int) ADVICE_MS);
    for (int number = 1; number <= MEMBERS; number++) {
      cell.addMember(number, new Advice(Hosts.host(80), ADVICE_MS, 0.1).address());
    }
    cell.awaitReady();
    cell.leader();
    cell.sleep(2);
    String id = cell.newJob();
    if (!cell.submit(id, Cell.job(0, Cell.step(1, 1000, 1000).put("longRunning", true)), 0)) {
      return 2;
    }
    cell.sleep(4);
    Worker holder = cell.workers.stream().filter(each -> each.runs(id)).findFirst().orElseThrow();
    cell.recorder.write("%s runs the task that lasts, %s", holder.id, id);
    double from = cell.recorder.now();
    int sent = 0;
    int mostRunning = 0;
    boolean drained = false;
    boolean left = false;
    List<Thread> callers = new ArrayList<>();
    String body = Cell.job(300, Cell.step(1, 1000, 300));
    while (cell.recorder.now() < from + TRAFFIC_SECONDS) {
      double elapsed = cell.recorder.now() - from;
      if (trouble && !drained && elapsed > 4) {
        holder.drain();
        drained = true;
      }
      if (trouble && !left && elapsed > 6.2) {
        holder.leave();
        left = true;
      }
      String job = cell.newJob();
      int first = sent % MEMBERS;
      Thread caller = new Thread(() -> cell.submit(job, body, first));
      caller.start();
      callers.add(caller);
      sent++;
      int running = cell.workers.stream().mapToInt(Worker::runningTasks).sum();
      mostRunning = Math.max(mostRunning, running);
      cell.sleepUntil(from + sent / JOBS_PER_SECOND);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    double trafficEnd = cell.recorder.now();
    cell.recorder.write(
        "traffic has ended; at most %d tasks, each on 1 core, ran at once on %d cores",
        mostRunning, (WORKERS - 1) * WORKER_CPU / 1000);
    cell.sleep(17);
    long unstarted =
        cell.recorder.accepted.keySet().stream()
            .filter(job -> cell.recorder.runsOf(job).isEmpty())
            .count();
    cell.recorder.write(
        "17 s later: %d of %d accepted jobs have not run", unstarted, cell.recorder.accepted.size());
    List<Recorder.Run> runs = cell.recorder.runsOf(id);
    List<String> breaks = new ArrayList<>();
    for (int index = 0; index < runs.size(); index++) {
      double ended = runs.get(index).to;
      double again = index + 1 < runs.size() ? runs.get(index + 1).from : cell.recorder.now();
      if (again > ended + DUE_SECONDS) {
        breaks.add(
            String.format(
                Locale.ROOT,
                "the task had no run from %.3f to %.3f; the traffic ended at %.3f",
                ended, again, trafficEnd));
      }
    }
    return Cell.verdict(cell, breaks, "LOST");
  }
}
