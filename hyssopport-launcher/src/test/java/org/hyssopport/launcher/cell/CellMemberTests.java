package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.protocol.MemberMessage;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a member settles what it holds, whatever the platform's services do. */
class CellMemberTests {

  private static final Duration GRACE = Duration.ofSeconds(3);
  private static final String SELF_ADDRESS = "127.0.0.1:0";

  /** More than the member asks the advice service for or queues at a time. */
  private static final int ADVICE_REQUESTS = 600;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private ServerSocket service;

  @BeforeEach
  void start() throws IOException {
    service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::acceptConnections);
  }

  @AfterEach
  void stop() throws IOException {
    service.close();
    threads.shutdownNow();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket socket = service.accept();
        threads.execute(() -> answerWithoutEnd(socket));
      }
    } catch (IOException e) {
      // The test has ended and closed the socket.
    }
  }

  /** Sends a byte of a header from time to time, sooner than a caller's read times out. */
  private static void answerWithoutEnd(Socket socket) {
    try (socket) {
      socket.getOutputStream().write("HTTP/1.1 200 OK\r\nDelay: ".getBytes(StandardCharsets.UTF_8));
      while (Threads.pause(100)) {
        socket.getOutputStream().write('x');
      }
    } catch (IOException e) {
      // The member has closed the connection.
    }
  }

  private CellMember startMember(PrintStream out) throws IOException {
    String address = "127.0.0.1:" + service.getLocalPort();
    return CellMember.start(
        new InstanceSettings(
            "member",
            "ourthe",
            "127.0.0.1",
            SELF_ADDRESS,
            SELF_ADDRESS,
            0,
            0,
            1,
            1000,
            430,
            address,
            Optional.of(address),
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofSeconds(3),
            Duration.ofMinutes(2),
            GRACE),
        out);
  }

  private CellMember startMember() throws IOException {
    return startMember(new PrintStream(logOutput, true, StandardCharsets.UTF_8));
  }

  // The drain began only after the call that leaves the group, which an endless answer holds up.
  @Test
  void leavesInTimeWhileTheStoreAnswersWithoutEnd() throws IOException {
    CellMember member = startMember();
    long terminatedAtNanos = System.nanoTime();
    assertTimeoutPreemptively(GRACE, () -> member.leave(terminatedAtNanos));
  }

  // The process ended before the log had written that the member has stopped.
  @Test
  void hasLoggedThatItStoppedWhenItHasLeft() throws IOException {
    PrintStream slow =
        new PrintStream(logOutput, true, StandardCharsets.UTF_8) {
          @Override
          public void println(Object line) {
            Threads.pause(100);
            super.println(line);
          }
        };
    CellMember member = startMember(slow);
    long terminatedAtNanos = System.nanoTime();
    assertTimeoutPreemptively(GRACE, () -> member.leave(terminatedAtNanos));
    String log = logOutput.toString(StandardCharsets.UTF_8);
    assertTrue(log.contains("\"stopped\""), log);
  }

  // A full queue threw an exception into the thread that receives the frames of a member, and left
  // the scheduler without an answer.
  @Test
  void answersThatThereIsNoAdviceWhileTheQueueIsFull() throws Exception {
    CellMember member = startMember();
    for (int call = 1; call <= ADVICE_REQUESTS; call++) {
      member.send(SELF_ADDRESS, adviceRequest(call));
    }
    String refusal = "\"advice request refused: too many wait\"";
    long deadlineNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!logOutput.toString(StandardCharsets.UTF_8).contains(refusal)) {
      assertTrue(System.nanoTime() < deadlineNanos, "refusal not logged");
      Threads.pause(10);
    }
  }

  private static MemberMessage.AdviceRequest adviceRequest(int call) {
    StepId step = new StepId(new JobId("0123456789abcdef"), 0, 0);
    return new MemberMessage.AdviceRequest(
        1, call, step, List.of(new WorkerId("worker")), Duration.ofSeconds(1).toMillis());
  }
}
