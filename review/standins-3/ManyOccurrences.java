import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Clients hand in jobs that are due each hour for six weeks, and later ask for their states. */
final class ManyOccurrences {

  private static final int JOBS = 600;
  private static final double JOBS_PER_SECOND = 12;
  private static final int OCCURRENCES = 1000;
  private static final double FINISH_SECONDS = 14;
  private static final int ASKED = 20;

  public static void main(String[] arguments) {
    Cell.play(arguments, ManyOccurrences::run);
  }

  private static int run(Cell cell, boolean trouble) throws Exception {
    cell.addWorkers(4, 64_000);
    cell.configure(3, -1);
    for (int number = 1; number <= 3; number++) {
      cell.addMember(number, "127.0.0.1:1");
    }
    cell.awaitReady();
    cell.leader();
    cell.sleep(2);
    String early = cell.newJob();
    if (!cell.submit(early, shortJob(), 0)) {
      return 2;
    }
    double from = cell.recorder.now();
    Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
    List<String> accepted = java.util.Collections.synchronizedList(new ArrayList<>());
    ExecutorService clients = Executors.newFixedThreadPool(40);
    for (int index = 0; index < JOBS; index++) {
      String id = cell.newJob();
      Member member = cell.members.get(index % 3);
      long firstMs = System.currentTimeMillis() + 3_600_000;
      String schedule =
          String.format(
              "{\"times\":%d,\"firstMs\":%d,\"intervalMs\":3600000,",
              trouble ? OCCURRENCES : 1, firstMs);
      String body = schedule + shortJob().substring(1);
      clients.execute(
          () -> {
            Cell.Answer answer = cell.call(member, "POST", Cell.PREFIX + id, body);
            cell.recorder.write("POST %s at edge-%d -> %d", id, member.number, answer.status());
            statuses.merge(answer.status(), 1, Integer::sum);
            if (answer.status() == 200) {
              accepted.add(id);
            }
          });
      cell.sleepUntil(from + (index + 1) / JOBS_PER_SECOND);
    }
    clients.shutdown();
    clients.awaitTermination(10, TimeUnit.SECONDS);
    cell.recorder.write("traffic has ended; answers to the POSTs: %s", new TreeMap<>(statuses));
    cell.sleep(FINISH_SECONDS);
    List<String> breaks = java.util.Collections.synchronizedList(new ArrayList<>());
    ExecutorService askers = Executors.newFixedThreadPool(ASKED);
    List<String> asked = List.copyOf(accepted).subList(0, Math.min(ASKED, accepted.size()));
    for (String id : asked) {
      askers.execute(() -> ask(cell, id, breaks));
    }
    askers.shutdown();
    askers.awaitTermination(15, TimeUnit.SECONDS);
    for (Member member : cell.members) {
      String log = member.logText();
      cell.recorder.write(
          "edge-%d: alive %s, OutOfMemoryError in its output %d times",
          member.number, member.isAlive(), log.split("OutOfMemoryError", -1).length - 1);
    }
    return Cell.verdict(cell, breaks, "LOST");
  }

  private static String shortJob() {
    return Cell.job(100, Cell.step(1, 1000, 100));
  }

  /** Asks each member in turn until one tells the state, as a client with retries does. */
  private static void ask(Cell cell, String id, List<String> breaks) {
    StringBuilder answers = new StringBuilder();
    for (Member member : cell.members) {
      Cell.Answer answer = cell.call(member, "GET", Cell.PREFIX + id, null);
      cell.recorder.write("GET %s at edge-%d -> %d", id, member.number, answer.status());
      answers.append(' ').append(answer.status());
      if (answer.status() == 200) {
        return;
      }
    }
    breaks.add(id + " is accepted, and no member tells its state:" + answers);
  }
}
