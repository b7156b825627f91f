import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The open connections between the members go silent for good, once; new ones work. */
final class SilentPeers {

  private static final int MEMBERS = 4;
  private static final int WORKER_CPU = 64_000;
  private static final double ADVICE_MS = 300;
  private static final double JOBS_PER_SECOND = 6;
  private static final double TRAFFIC_SECONDS = 45;
  private static final double FINISH_SECONDS = 14;

  public static void main(String[] arguments) {
    Cell.play(arguments, SilentPeers::run);
  }

  private static int run(Cell cell, boolean trouble) throws Exception {
    cell.addWorkers(6, WORKER_CPU);
    cell.configure(3, (int) ADVICE_MS);
    List<Advice> advisers = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    for (int number = 1; number <= MEMBERS; number++) {
      advisers.add(new Advice(Hosts.host(80), ADVICE_MS, 0.1));
      addresses.add(advisers.get(number - 1).address());
    }
    PeerLinks links = PeerLinks.start(cell, addresses);
    cell.awaitReady();
    Member leader = cell.leader();
    cell.recorder.write("edge-%d leads", leader.number);
    cell.sleep(3);
    double from = cell.recorder.now();
    double silentAt = from + 5;
    boolean silenced = false;
    int sent = 0;
    List<Thread> callers = new ArrayList<>();
    String body = Cell.job(300, Cell.step(2, 1000, 300));
    while (cell.recorder.now() < from + TRAFFIC_SECONDS) {
      if (trouble && !silenced && cell.recorder.now() >= silentAt) {
        int count = links.silence();
        cell.recorder.write("%d open connections between members go silent", count);
        silenced = true;
      }
      String id = cell.newJob();
      int first = sent % MEMBERS;
      Thread caller = new Thread(() -> cell.submit(id, body, first));
      caller.start();
      callers.add(caller);
      sent++;
      cell.sleepUntil(from + sent / JOBS_PER_SECOND);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    double trafficEnd = cell.recorder.now();
    cell.recorder.write("traffic has ended: %d jobs accepted", cell.recorder.accepted.size());
    cell.sleepUntil(trafficEnd + FINISH_SECONDS);
    List<String> waiting = waiting(cell);
    cell.recorder.write("%d jobs have no run yet", waiting.size());
    cell.sleep(3);
    List<String> stillWaiting = waiting(cell);
    stillWaiting.retainAll(waiting);
    int running = cell.workers.stream().mapToInt(Worker::runningTasks).sum();
    cell.recorder.write(
        "3 s later %d of them still have none; %d tasks run on 6 workers of 64 cores",
        stillWaiting.size(), running);
    Map<String, Integer> pending = new TreeMap<>();
    for (Member member : cell.members) {
      Cell.Answer answer = cell.call(member, "GET", Cell.PREFIX, null);
      cell.recorder.write("GET %s at edge-%d -> %d %s", Cell.PREFIX, member.number, answer.status(), answer.body());
      cell.recorder.write("advice calls by edge-%d: %d", member.number, advisers.get(member.number - 1).calls);
    }
    if (running * 1000 * 2 >= 6 * WORKER_CPU) {
      // The rule holds only while under half of the capacity is in use.
      return Cell.verdict(cell, List.of(), "LOST");
    }
    return Cell.verdict(
        cell,
        stillWaiting.stream().limit(20).map(id -> id + " is accepted and not started").toList(),
        "LOST");
  }

  private static List<String> waiting(Cell cell) {
    List<String> waiting = new ArrayList<>();
    for (String id : List.copyOf(cell.recorder.accepted.keySet())) {
      if (cell.recorder.runsOf(id).isEmpty()) {
        waiting.add(id);
      }
    }
    return waiting;
  }
}
