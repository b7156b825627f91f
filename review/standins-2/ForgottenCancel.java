import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client gives up on a member that stands still and cancels: does its job run all the same? */
final class ForgottenCancel extends Scenario {

  private static final int MEMBERS = 3;
  private static final long CANCEL_MILLIS = 3_000;
  private static final long FREEZE_MILLIS = 3_500;

  /** How long the killed machine stays dark. */
  private static final long DARK_MILLIS = 3_500;

  private final String job = jobId(7);

  /** When the last start of the job was ordered; 0 if it was not. */
  private final AtomicLong startedAt = new AtomicLong();

  private ForgottenCancel(Path directory) throws IOException {
    super(directory);
  }

  public static void main(String[] arguments) throws IOException {
    System.exit(new ForgottenCancel(Path.of(arguments[0])).play());
  }

  @Override
  int run() throws Exception {
    if (!open(MEMBERS, 4, 64_000, 262_144)) {
      return NOT_RUN;
    }
    boolean works =
        submit(jobId(1), "{\"ms\":300}", Json.map("count", 2, "cpu", 1000, "memMb", 1024));
    Thread.sleep(3000);
    if (!works) {
      return NOT_RUN;
    }
    int leader = cell.leader();
    int frozen = (leader + 1) % MEMBERS;
    int other = (leader + 2) % MEMBERS;
    recorder.line("the scheduler is member " + leader);
    long frozenAt = recorder.now();
    if (trouble) {
      cell.signal(frozen, "STOP");
    }
    // The client sends its job to the member that stands still, and leaves without an answer.
    postAndLeave(frozen, 50);
    long cancelledAt = cancel(other);
    if (cancelledAt < 0) {
      return NOT_RUN;
    }
    if (trouble) {
      Thread.sleep(300);
      cell.kill(leader);
      long killedAt = recorder.now();
      Thread.sleep(Math.max(1, frozenAt + FREEZE_MILLIS - recorder.now()));
      cell.signal(frozen, "CONT");
      Thread.sleep(Math.max(1, killedAt + DARK_MILLIS - recorder.now()));
      cell.restart(leader);
    }
    Thread.sleep(12_000);
    cell.copyLogs("term begun", "accepted", "accepted elsewhere", "cancelled", "placed");
    state(job, other);
    if (trouble && cell.leader() != other) {
      recorder.line("the next scheduler is not the undisturbed member; no verdict");
      return NOT_RUN;
    }
    return check(cancelledAt);
  }

  private void postAndLeave(int member, long patienceMillis) throws Exception {
    String body =
        Json.write(
            Json.map(
                "spec", "{\"ms\":5000}",
                "steps", List.of(Json.map("count", 2, "cpu", 1000, "memMb", 1024, "estMs", 5000))));
    String address = cell.front(member);
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          500);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      OutputStream out = socket.getOutputStream();
      out.write(
          ("POST " + PREFIX + job + " HTTP/1.1\r\nHost: " + HOST
                  + "\r\nHyssopport-Deadline-Ms: 3000\r\nContent-Type: application/json"
                  + "\r\nContent-Length: " + bytes.length + "\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      out.flush();
      recorder.line("POST " + PREFIX + job + " to member " + member + ": " + body);
      Thread.sleep(patienceMillis);
    }
    recorder.line("the client has left");
  }

  /** Cancels the job until that is acknowledged; returns when it was, or -1. */
  private long cancel(int member) throws InterruptedException {
    for (int attempt = 0; attempt < 5; attempt++) {
      Http.Answer answer = Http.send(cell.front(member), "DELETE", PREFIX + job, HOST, "", 3000);
      recorder.line("DELETE " + PREFIX + job + " at member " + member + ": " + answer.status());
      if (answer.status() / 100 == 2 || answer.status() == 410) {
        return recorder.now();
      }
      Thread.sleep(100);
    }
    return -1;
  }

  @Override
  public void ordered(Worker worker, String task, String spec) {
    if (task.startsWith(job)) {
      startedAt.accumulateAndGet(recorder.now(), Math::max);
      recorder.line("worker " + worker.id + " is told to start " + task);
    }
  }

  /** No task of the job is started later than `cancel_ms` after its cancelling was acknowledged. */
  private int check(long cancelledAt) {
    long late = startedAt.get() == 0 ? 0 : startedAt.get() - cancelledAt;
    recorder.line(
        "last start " + (startedAt.get() == 0 ? "none" : late + " ms after the acknowledgement")
            + "; allowed are " + CANCEL_MILLIS);
    return late > CANCEL_MILLIS ? RULE_BROKEN : RULE_HELD;
  }
}
