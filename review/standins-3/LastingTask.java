import java.util.List;

/**
 * A worker is emptied and taken away, and the process that leads is killed a moment later. A task
 * that lasts and ran on this worker has to run again elsewhere.
 */
final class LastingTask {

  private static final double CALM_BEFORE = 4;
  private static final double WAIT = 3;
  private static final double AFTER_LAST_RUN = 6;

  public static void main(String[] arguments) {
    Cell.play(arguments, LastingTask::run);
  }

  private static int run(Cell cell, boolean trouble) throws Exception {
    cell.addWorkers(6, 64_000);
    cell.configure(3, -1);
    for (int number = 1; number <= 3; number++) {
      cell.addMember(number, "127.0.0.1:1");
    }
    cell.awaitReady();
    Member leader = cell.leader();
    cell.recorder.write("edge-%d leads", leader.number);
    cell.sleep(2);
    String id = cell.newJob();
    if (!cell.submit(id, Cell.job(0, Cell.step(1, 1000, 1000).put("longRunning", true)), 0)) {
      return 2;
    }
    cell.sleep(3);
    Worker holder = cell.workers.stream().filter(each -> each.runs(id)).findFirst().orElseThrow();
    cell.recorder.write("%s runs the task", holder.id);
    double calmFrom = cell.recorder.now();
    if (trouble) {
      holder.drain();
      cell.sleep(2.2);
      holder.leave();
      cell.sleep(2);
      cell.recorder.write("edge-%d is killed", leader.number);
      leader.close();
      cell.sleep(0.2);
      leader.start();
      calmFrom = cell.recorder.now();
      cell.recorder.write("edge-%d starts again; nothing happens from here on", leader.number);
    }
    cell.sleep(16);
    List<Recorder.Run> runs = cell.recorder.runsOf(id);
    double ended = runs.get(0).to;
    if (ended == Double.MAX_VALUE) {
      return Cell.verdict(cell, List.of(), "LOST");
    }
    double again = runs.size() > 1 ? runs.get(1).from : cell.recorder.now();
    double due = Math.max(ended + AFTER_LAST_RUN, calmFrom + CALM_BEFORE) + WAIT;
    cell.recorder.write(
        "last run ended at %.3f, calm from %.3f, so a run was due by %.3f; the next began at %.3f",
        ended, calmFrom, due, again);
    return Cell.verdict(
        cell,
        again > due
            ? List.of(String.format("the task had no run for %.1f s", again - ended))
            : List.of(),
        "LOST");
  }
}
