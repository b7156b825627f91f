package org.hyssopport.launcher.cell;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.provider.Arguments;

/**
 * Calls a {@link ForwardingRequestHandler} with a scheduler and a store that each test controls.
 */
abstract class AbstractForwardingRequestHandlerTests {

  static final JobId JOB = new JobId("0123456789abcdef");

  static final CallerRequest SUBMIT =
      new CallerRequest.Submit(SampleJobs.job(JOB, SampleJobs.QUEUE, List.of(), Instant.EPOCH));

  static final CallerRequest SHOW = CallerRequest.Show.withoutOrganisation(JOB);

  static final CallerRequest CANCEL = CallerRequest.Cancel.withoutOrganisation(JOB);

  /** Longer than the handler waits for a scheduler that sends no heartbeats. */
  static final long SLOW_ANSWER_MILLIS = 1000;

  final MonotonicClock clock = new MonotonicClock();
  final StubSchedulerClient scheduler = new StubSchedulerClient();
  volatile Runnable beforeStoreAnswer = () -> {};
  volatile boolean storeAnswersLost;
  volatile boolean storeWorks;
  final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private HttpServer storeServer;
  MemberContext context;
  ForwardingRequestHandler handler;

  /** A client that answers with the values that the test sets, and records the requests sent. */
  static final class StubSchedulerClient implements ForwardingRequestHandler.SchedulerClient {
    volatile boolean schedulerKnown;
    volatile boolean storeAvailable = true;
    volatile boolean schedulerSeenRecently;
    volatile boolean nextSchedulerExpected;
    int requestsSent;
    volatile long sentNumber;
    volatile Runnable afterSend = () -> {};
    volatile Runnable beforeStoreAvailable = () -> {};

    @Override
    public Optional<SchedulerSeat> trySend(long number, CallerRequest request) {
      boolean sent = schedulerKnown;
      requestsSent += sent ? 1 : 0;
      sentNumber = number;
      new Thread(afterSend).start();
      return sent ? Optional.of(new SchedulerSeat("127.0.0.1:2", 1)) : Optional.empty();
    }

    @Override
    public Optional<PendingJobs> pendingJobs() {
      return Optional.empty();
    }

    @Override
    public boolean hasRecentContact() {
      return schedulerKnown;
    }

    @Override
    public boolean schedulerSeenRecently() {
      return schedulerSeenRecently;
    }

    @Override
    public boolean nextSchedulerExpected() {
      return nextSchedulerExpected;
    }

    @Override
    public boolean storeAvailable() {
      Runnable action = beforeStoreAvailable;
      beforeStoreAvailable = () -> {};
      action.run();
      return storeAvailable;
    }
  }

  @BeforeEach
  void start() throws IOException {
    storeServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    storeServer.createContext(
        "/",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          beforeStoreAnswer.run();
          if (storeWorks) {
            byte[] body = "{\"offset\":0,\"end\":1}".getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
          } else if (!storeAnswersLost) {
            exchange.sendResponseHeaders(503, -1);
          }
          exchange.close();
        });
    storeServer.start();
    context =
        MemberContexts.create("127.0.0.1:" + storeServer.getAddress().getPort(), clock, logOutput);
    handler = newHandler();
  }

  /** Returns a handler as a process that starts under the member's address makes it. */
  ForwardingRequestHandler newHandler() {
    return new ForwardingRequestHandler(
        context, new ConfigurationFollower(context.store(), context.log()), scheduler);
  }

  @AfterEach
  void stop() {
    storeServer.stop(0);
  }

  CallerAnswer submit() {
    return handle(SUBMIT);
  }

  CallerAnswer handle(CallerRequest request) {
    return handler.handle(request, clock.instant().plusSeconds(1));
  }

  /** Returns the logged lines of an event; waits until there is at least one. */
  List<String> loggedLines(String event) {
    List<String> lines = List.of();
    while (lines.isEmpty()) {
      Threads.pause(1);
      lines =
          logOutput
              .toString(StandardCharsets.UTF_8)
              .lines()
              .filter(line -> line.contains("\"" + event + "\"") && line.endsWith("}"))
              .toList();
    }
    return lines;
  }

  /** Each request that a member can append itself, with the answer once that is done. */
  static List<Arguments> appendedRequests() {
    return List.of(Arguments.of(SUBMIT, Verdict.ACCEPTED), Arguments.of(CANCEL, Verdict.CANCELLED));
  }
}
