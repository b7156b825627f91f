import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Stand-in for the advice service; each worker is good for each step. */
final class Advice implements AutoCloseable {

  static final long DECIDE_MILLIS = 650;
  static final double EACH_MILLIS = 9.2;
  static final long VALID_MILLIS = 1500;

  /** Is told of each call before it is decided. */
  interface Listener {
    void asked(String step, List<Object> workers);
  }

  private final Http.Server server;
  private final String host;
  private final Listener listener;

  Advice(String host, Listener listener) throws IOException {
    this.host = host;
    this.listener = listener;
    server = new Http.Server(host, 0, this::answer);
  }

  String address() {
    return host + ":" + server.port();
  }

  private Http.Reply answer(Http.Call call) throws InterruptedException {
    Map<String, Object> body = call.json();
    String step = Json.string(body, "step");
    List<Object> workers = Json.list(body, "workers");
    listener.asked(step, workers);
    Thread.sleep(DECIDE_MILLIS + (long) (EACH_MILLIS * workers.size()));
    long until = System.currentTimeMillis() + VALID_MILLIS;
    List<Object> good = new ArrayList<>();
    workers.forEach(worker -> good.add(List.of(worker, worker + "/" + step + "/" + until)));
    return Http.Reply.json(200, Json.map("good", good, "validMs", VALID_MILLIS));
  }

  static boolean isValid(String ticket, String worker, String step) {
    String[] parts = ticket.split("/");
    return parts.length == 3
        && parts[0].equals(worker)
        && parts[1].equals(step)
        && System.currentTimeMillis() < Long.parseLong(parts[2]);
  }

  @Override
  public void close() {
    server.close();
  }
}
