package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.OrderResult;
import org.hyssopport.engine.scheduler.SchedulerEffect;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which orders are sent after they have waited for their turn. */
class OrderSenderTests {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  // Orders that had waited for 1.6 s were sent with tickets that were valid for 1.5 s.
  @ParameterizedTest
  @CsvSource({"-100, TICKET_EXPIRED, false", "20, TICKET_EXPIRED, false", "21, UNANSWERED, true"})
  @Timeout(30)
  void startsAreSentOnlyIfTheirTicketsOutlastTheWay(
      long validMillis, OrderResult expected, boolean called)
      throws IOException, InterruptedException {
    BlockingQueue<SchedulerEvent> events = new LinkedBlockingQueue<>();
    MemberContext context =
        MemberContexts.create("127.0.0.1:1", () -> NOW, OutputStream.nullOutputStream());
    Ticket ticket = new Ticket("ticket", 5, NOW.plusMillis(validMillis));
    try (ServerSocket silentWorker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      silentWorker.setSoTimeout(100);
      new OrderSender(context, 1, () -> false, events::add)
          .send(startAt("127.0.0.1:" + silentWorker.getLocalPort(), ticket));
      assertEquals(expected, ((SchedulerEvent.OrderFinished) events.take()).result());
      assertEquals(called, isCalled(silentWorker));
    }
  }

  private static boolean isCalled(ServerSocket worker) throws IOException {
    try (Socket connection = worker.accept()) {
      return connection.isConnected();
    } catch (SocketTimeoutException e) {
      return false;
    }
  }

  private static SchedulerEffect.Start startAt(String address, Ticket ticket) {
    WorkerDescription worker =
        new WorkerDescription(
            new WorkerId("w"),
            5,
            address,
            "s",
            new FailureDomain("ourthe"),
            new Resources(1, 1, 0),
            Set.of(),
            "",
            false);
    StepId step = new StepId(new JobId("0123456789abcdef"), 0, 0);
    return new SchedulerEffect.Start(
        worker, new RunId(new TaskId(step, 0), 1), "", 1000, "", Optional.of(ticket));
  }
}
