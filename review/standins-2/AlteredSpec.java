import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** Does a worker get the spec that the client sent, if a cut text ends in half a character? */
final class AlteredSpec extends Scenario {

  private static final int JOBS = 6;

  /** The first half of an emoji, as a text that was cut between two UTF-16 units ends. */
  private static final char HALF = '\ud83d';

  private final Map<String, String> ordered = new HashMap<>();

  private AlteredSpec(Path directory) throws IOException {
    super(directory);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new AlteredSpec(Path.of(arguments[0])).play());
  }

  /** Returns a text in which only ASCII characters stand, others as JSON escapes. */
  private static String escape(String text) {
    StringBuilder escaped = new StringBuilder();
    for (char next : text.toCharArray()) {
      escaped.append(next < 128 ? String.valueOf(next) : String.format("\\u%04x", (int) next));
    }
    return escaped.toString();
  }

  @Override
  int run() throws Exception {
    if (!open(3, 3, 64_000, 262_144)) {
      return NOT_RUN;
    }
    Map<String, String> sent = new HashMap<>();
    for (int number = 0; number < JOBS; number++) {
      String note = "trolley 7 " + (trouble ? HALF : "\ud83d\ude83");
      String spec = Json.write(Json.map("ms", 300, "note", note));
      String body =
          escape(
              Json.write(
                  Json.map(
                      "spec", spec,
                      "steps",
                          java.util.List.of(Json.map("count", 1, "cpu", 1000, "memMb", 1024)))));
      int member = number % cell.size();
      recorder.line("POST " + PREFIX + jobId(number) + " to member " + member + ": " + body);
      Http.Answer answer =
          Http.send(cell.front(member), "POST", PREFIX + jobId(number), HOST, body, 3000);
      recorder.line("answer: " + answer.status());
      if (answer.status() / 100 == 2) {
        sent.put(jobId(number), spec);
      }
      Thread.sleep(500);
    }
    Thread.sleep(3000);
    int altered = 0;
    synchronized (ordered) {
      for (Map.Entry<String, String> job : sent.entrySet()) {
        String spec = ordered.get(job.getKey());
        if (spec != null && !spec.equals(job.getValue())) {
          altered++;
          recorder.line(
              "job " + job.getKey() + " was sent with " + escape(job.getValue())
                  + " and started with " + escape(spec));
        }
      }
      recorder.line(
          "jobs accepted: " + sent.size() + "; started: " + ordered.size()
              + "; started with another spec: " + altered);
      if (ordered.isEmpty() && !sent.isEmpty()) {
        return NOT_RUN;
      }
    }
    return altered > 0 ? RULE_BROKEN : RULE_HELD;
  }

  @Override
  public void ordered(Worker worker, String task, String spec) {
    synchronized (ordered) {
      ordered.put(task.substring(0, task.indexOf('.')), spec);
    }
  }
}
