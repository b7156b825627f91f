import java.io.BufferedWriter;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with milliseconds since the start. */
final class Record {

  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Record() {}

  static void open(Path file) throws IOException {
    BufferedWriter writer = Files.newBufferedWriter(file);
    out = new PrintWriter(writer);
  }

  /** Milliseconds of the steady clock since the harness started. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  static synchronized void line(String format, Object... arguments) {
    out.println(now() + " " + String.format(format, arguments));
  }

  /** Writes a line to the record and to standard output. */
  static synchronized void say(String format, Object... arguments) {
    line(format, arguments);
    out.flush();
    System.out.println(now() + " " + String.format(format, arguments));
  }

  static synchronized void close() {
    out.close();
  }
}
