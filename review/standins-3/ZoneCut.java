import java.util.List;

/**
 * A zone with the process that leads, and with a worker that runs a task, is cut off from the other
 * zones. All reach the store. The task must not run a second time meanwhile.
 */
final class ZoneCut {

  private static final double CUT_SECONDS = 12;

  public static void main(String[] arguments) {
    Cell.play(arguments, ZoneCut::run);
  }

  private static int run(Cell cell, boolean trouble) throws Exception {
    cell.configure(3, -1);
    cell.addWorkers(6, 16_000);
    PeerLinks links = PeerLinks.start(cell, List.of("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"));
    cell.awaitReady();
    Member leader = cell.leader();
    cell.recorder.write("edge-%d in %s leads", leader.number, leader.zone());
    cell.sleep(2);
    // The store may reassign all partitions at any time; this does not move the leadership.
    cell.store.reassign();
    cell.recorder.write("the store has reassigned its partitions, now with %s", cell.store.owners());
    cell.sleep(3);
    if (cell.leader() != leader) {
      return 2;
    }
    Worker near = cell.addWorker("big-1", 111, leader.zone(), 64_000);
    cell.sleep(1.5);
    String id = cell.newJob();
    if (!cell.submit(id, Cell.job(40_000, Cell.step(1, 40_000, 40_000)), leader.number - 1)) {
      return 2;
    }
    cell.sleep(1);
    if (!near.runs(id)) {
      return 2;
    }
    Member other = cell.members.get(leader.number % 3);
    Worker far = cell.addWorker("big-2", 112, other.zone(), 64_000);
    cell.sleep(4);
    if (trouble) {
      long term = cell.newestTerm();
      cell.recorder.write("%s is cut off from the other zones", leader.zone());
      links.setCutOff(leader.number, true);
      for (Worker worker : cell.workers) {
        boolean inside = worker.zone.equals(leader.zone());
        worker.cutOff(fence -> inside ? fence > term : fence <= term);
      }
    }
    cell.sleep(CUT_SECONDS);
    if (trouble) {
      cell.recorder.write("the cut is over");
      links.setCutOff(leader.number, false);
      cell.workers.forEach(worker -> worker.cutOff(fence -> false));
    }
    cell.sleep(5);
    cell.recorder.write("%s runs the task: %s, %s: %s", near.id, near.runs(id), far.id, far.runs(id));
    return Cell.verdict(cell, cell.recorder.twice(), "TWICE");
  }
}
