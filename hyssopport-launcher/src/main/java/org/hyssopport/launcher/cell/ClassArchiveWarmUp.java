package org.hyssopport.launcher.cell;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.HttpURLConnection;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.engine.scheduler.CallerRequestId;
import org.hyssopport.engine.scheduler.CellScheduler;
import org.hyssopport.engine.scheduler.PollResult;
import org.hyssopport.engine.scheduler.SchedulerEffect;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.engine.worker.WorkerRunReport;
import org.hyssopport.platform.ConfigurationDecoder;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.platform.LiveListEntryDecoder;
import org.hyssopport.platform.StoreRecord;
import org.hyssopport.platform.StoreWrite;
import org.hyssopport.policy.Resources;
import org.hyssopport.protocol.MemberMessage;
import org.hyssopport.protocol.MessagePackCodec;

/**
 * Loads the classes that a member uses at its start and in its first term, without a platform.
 *
 * <p>The build runs it so that the JVM can write an archive of these classes (class data sharing).
 * The archive shortens the start of a member. This matters most for a restart, since all work of a
 * restarted process is charged in full.
 *
 * @since 0.2
 */
public final class ClassArchiveWarmUp {

  private static final Duration MEMBER_RUN_TIME = Duration.ofMillis(800);
  private static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";

  private ClassArchiveWarmUp() {}

  /**
   * Starts a member on free ports of the loopback interface and exercises its classes.
   *
   * @param out the stream that the member's log is written to
   * @throws IOException if no port is free, or a request to the member fails
   */
  public static void run(PrintStream out) throws IOException {
    CellMember member = CellMember.start(settings(), out);
    for (String method : List.of("GET", "POST", "DELETE")) {
      sendRequest(member.callerPort(), method);
    }
    exerciseScheduler();
    exerciseCodecs();
    Threads.pause(MEMBER_RUN_TIME.toMillis());
  }

  private static InstanceSettings settings() {
    return new InstanceSettings(
        "rehearsal",
        "nowhere",
        "127.0.0.1",
        "127.0.0.1:0",
        "127.0.0.1:0",
        0,
        0,
        1,
        1000,
        430,
        UNREACHABLE_ADDRESS,
        Optional.of(UNREACHABLE_ADDRESS),
        Duration.ofSeconds(1),
        Duration.ofSeconds(10),
        Duration.ofSeconds(3),
        Duration.ofMinutes(2),
        Duration.ofSeconds(6));
  }

  private static void sendRequest(int port, String method) throws IOException {
    URL url = new URL("http://127.0.0.1:" + port + "/rehearsal/0123456789abcdef");
    HttpURLConnection connection = (HttpURLConnection) url.openConnection();
    connection.setRequestMethod(method);
    if (method.equals("POST")) {
      byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
      connection.setDoOutput(true);
      connection.setFixedLengthStreamingMode(body.length);
      try (OutputStream stream = connection.getOutputStream()) {
        stream.write(body);
      }
    }
    connection.getResponseCode();
    connection.disconnect();
  }

  private static JobDefinition sampleJob() {
    AdvicePolicy advice =
        new AdvicePolicy(Duration.ofMillis(1), Duration.ofMillis(1), Duration.ofSeconds(1));
    QueuePolicy queue =
        new QueuePolicy("queue", "service", 0, 1, 1, Duration.ofSeconds(1), Optional.of(advice));
    StepDefinition step =
        new StepDefinition(
            2,
            new Resources(1, 1, 0),
            Duration.ofSeconds(1),
            List.of(),
            true,
            false,
            false,
            Optional.empty(),
            Optional.of("rack"),
            1,
            false,
            false);
    JobId id = new JobId("0123456789abcdef");
    return new JobDefinition(
        id,
        queue,
        "payload",
        List.of(step),
        0,
        Instant.EPOCH,
        Duration.ZERO,
        Instant.now(),
        Optional.empty());
  }

  private static void exerciseScheduler() {
    CellScheduler scheduler =
        CellScheduler.create(
            SchedulerSettings.of(
                Duration.ofSeconds(10), Duration.ofSeconds(3), Duration.ofMinutes(2)));
    WorkerDescription worker =
        new WorkerDescription(
            new WorkerId("worker"),
            1,
            UNREACHABLE_ADDRESS,
            "service",
            new FailureDomain("nowhere"),
            new Resources(10, 10, 0),
            Set.of("rack"),
            "rack",
            false);
    Instant now = Instant.now();
    handleEvent(scheduler, now, SchedulerEvent.Recovered.of(List.of(), List.of(worker)));
    handleEvent(scheduler, now, new SchedulerEvent.MembersChanged(Set.of("member")));
    PollResult report =
        new PollResult.Reported(WorkerRunReport.complete(1, 1000, List.of(), List.of()));
    handleEvent(scheduler, now, new SchedulerEvent.WorkerPolled(worker.id(), 1, now, 0, report));
    CallerRequestId caller = new CallerRequestId("member", 1);
    handleEvent(
        scheduler,
        now,
        new SchedulerEvent.CallerRequestReceived(caller, new CallerRequest.Submit(sampleJob())));
    handleEvent(scheduler, now, new SchedulerEvent.JournalBatchStored(now));
    Ticket ticket = new Ticket("ticket", 1, now.plusSeconds(1));
    handleEvent(
        scheduler,
        now,
        new SchedulerEvent.AdviceCallFinished(1, Optional.of(Map.of(worker.id(), ticket))));
    handleEvent(scheduler, now, new SchedulerEvent.JournalBatchStored(now));
    handleEvent(scheduler, now, new SchedulerEvent.Ticked());
  }

  private static void handleEvent(CellScheduler scheduler, Instant now, SchedulerEvent event) {
    scheduler.handle(event, now, now);
    for (SchedulerEffect effect : scheduler.decide(now, now)) {
      if (effect instanceof SchedulerEffect.Store store) {
        for (StoreWrite write : JournalCodec.encode(store.entries())) {
          JournalCodec.decode(new StoreRecord(0, write.key(), write.value()));
        }
      }
    }
  }

  private static void exerciseCodecs() {
    JournalCodec.encode(List.of(new JournalEntry.Forgotten(sampleJob().id())));
    MessagePackCodec<MemberMessage.MemberEnvelope> codec =
        MessagePackCodec.of(MemberMessage.MemberEnvelope.class);
    List<MemberMessage> messages =
        List.of(
            new MemberMessage.MemberHeartbeat("nowhere", false, true, Optional.of(0), 1),
            new MemberMessage.LeaderHeartbeat(
                1,
                true,
                Optional.of(new MemberMessage.PendingCount(Map.of("queue", 1), 1, 1)),
                Set.of("member")),
            new MemberMessage.ForwardedRequest(1, new CallerRequest.Submit(sampleJob())),
            new MemberMessage.ForwardedRequest(
                1, CallerRequest.Show.withoutOrganisation(sampleJob().id())),
            new MemberMessage.ForwardedAnswer(1, CallerAnswer.of(CallerAnswer.Verdict.ACCEPTED)));
    messages.forEach(
        message -> codec.decode(codec.encode(new MemberMessage.MemberEnvelope("me", message))));
    ConfigurationDecoder.decode("{\"version\":1,\"routes\":[]}".getBytes(StandardCharsets.UTF_8));
    LiveListEntryDecoder.decode("worker", "{\"labels\":[]}".getBytes(StandardCharsets.UTF_8));
  }
}
