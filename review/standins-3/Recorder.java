import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Records what was sent, answered and run, and what the rules need of it. */
final class Recorder {

  /** One run of a task on a worker. */
  static final class Run {
    final String task;
    final int number;
    final String worker;
    final double from;
    double to = Double.MAX_VALUE;
    String end = "";

    Run(String task, int number, String worker, double from) {
      this.task = task;
      this.number = number;
      this.worker = worker;
      this.from = from;
    }
  }

  /** One end of a run that a worker has listed and a call has acknowledged. */
  record Noted(String task, String how, double at) {}

  private final long startNanos = System.nanoTime();
  private final List<String> lines = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<Noted> noted = new ArrayList<>();
  final Map<String, Double> accepted = new HashMap<>();
  final Map<String, Double> cancelled = new HashMap<>();

  /** Returns the seconds since the start of the script. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void write(String format, Object... arguments) {
    String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
    lines.add(String.format(Locale.ROOT, "%8.3f  %s", now(), text));
  }

  synchronized Run begin(String task, int number, String worker) {
    Run run = new Run(task, number, worker, now());
    runs.add(run);
    write("%s starts %s run %d", worker, task, number);
    return run;
  }

  synchronized void end(Run run, String how) {
    run.to = now();
    run.end = how;
    write("%s ends %s run %d: %s", run.worker, run.task, run.number, how);
  }

  synchronized void note(String task, String how) {
    noted.add(new Noted(task, how, now()));
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  synchronized List<Run> runsOf(String job) {
    return runs.stream().filter(run -> run.task.startsWith(job + ".")).toList();
  }

  /** Pairs of runs of one task that overlap, and starts after a noted end `done`. */
  synchronized List<String> twice() {
    List<String> found = new ArrayList<>();
    for (int first = 0; first < runs.size(); first++) {
      Run a = runs.get(first);
      for (int second = first + 1; second < runs.size(); second++) {
        Run b = runs.get(second);
        if (a.task.equals(b.task) && a.from < b.to && b.from < a.to) {
          found.add(
              String.format(
                  Locale.ROOT,
                  "%s: run %d on %s (%.3f to %.3f) and run %d on %s (%.3f to %.3f) at the same time",
                  a.task, a.number, a.worker, a.from, Math.min(a.to, now()),
                  b.number, b.worker, b.from, Math.min(b.to, now())));
        }
      }
      for (Noted each : noted) {
        if (each.task.equals(a.task) && each.how.equals("done") && a.from > each.at) {
          found.add(
              String.format(
                  Locale.ROOT,
                  "%s: run %d starts on %s at %.3f after an end `done` was taken note of at %.3f",
                  a.task, a.number, a.worker, a.from, each.at));
        }
      }
    }
    return found;
  }

  synchronized void save(Path file) throws IOException {
    Files.write(file, lines);
  }
}
