import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * A configuration sends a queue to another service, and the only worker of the old one is emptied
 * and taken away. A task that lasts has to run again, on the new service.
 */
final class QueueMoved {

  private static final double DUE_SECONDS = 9;

  public static void main(String[] arguments) {
    Cell.play(arguments, QueueMoved::run);
  }

  private static int run(Cell cell, boolean trouble) throws Exception {
    cell.addWorkers(7, 64_000);
    for (int index = 1; index < cell.workers.size(); index++) {
      cell.workers.get(index).setService("new-svc");
    }
    cell.sleep(0.2);
    cell.configure(3, -1);
    for (int number = 1; number <= 3; number++) {
      cell.addMember(number, "127.0.0.1:1");
    }
    cell.awaitReady();
    cell.leader();
    cell.sleep(2);
    String id = cell.newJob();
    if (!cell.submit(id, Cell.job(0, Cell.step(1, 1000, 1000).put("longRunning", true)), 0)) {
      return 2;
    }
    cell.sleep(3);
    Worker holder = cell.workers.get(0);
    if (!holder.runs(id)) {
      return 2;
    }
    if (trouble) {
      cell.configure(4, -1, "new-svc");
    }
    cell.sleep(4);
    String later = cell.newJob();
    cell.submit(later, Cell.job(500, Cell.step(1, 1000, 500)), 1);
    cell.sleep(2);
    if (trouble) {
      holder.drain();
      cell.sleep(2.2);
      holder.leave();
    }
    cell.sleep(25);
    for (Member member : cell.members) {
      cell.recorder.write("GET %s at edge-%d -> %s", id, member.number, cell.state(id, member));
    }
    List<String> breaks = new ArrayList<>();
    List<Recorder.Run> runs = cell.recorder.runsOf(id);
    for (int index = 0; index < runs.size(); index++) {
      double ended = runs.get(index).to;
      double again = index + 1 < runs.size() ? runs.get(index + 1).from : cell.recorder.now();
      if (again > ended + DUE_SECONDS) {
        breaks.add(
            String.format(
                Locale.ROOT, "the task had no run from %.3f to %.3f at least", ended, again));
      }
    }
    return Cell.verdict(cell, breaks, "LOST");
  }
}
