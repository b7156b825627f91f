import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, each line with the milliseconds since the begin. */
final class Recorder implements AutoCloseable {

  private final long beginNanos = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  long now() {
    return (System.nanoTime() - beginNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%7d %s%n", now(), text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
