package org.hyssopport.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.PeerMessage.ConfigurationOffered;
import org.hyssopport.engine.PeerMessage.Envelope;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.StoredRecord;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.work.RecordCodec;
import org.hyssopport.engine.work.StreamRecord.ConfigurationChanged;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.Team;
import org.hyssopport.policy.WorkClass;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against failures of a single engine without peers or workers: an older configuration that
 * replaces a newer one, work accepted without a configuration, and faults in the input that are not
 * reported.
 */
class EntryEngineTests {

  private static final Instant START = Instant.ofEpochSecond(1000);
  private static final FailureDomain NORTH = new FailureDomain("north");

  private final EntryEngine engine =
      EntryEngine.create(new EntryId("e1", "i1"), NORTH, List.of(NORTH), EngineSettings.standard());

  @Nested
  class WhenPeerHadNewerConfiguration {

    @Test
    void olderLogRecordsDoNotReplaceIt() {
      offer(10, configuration("newer"));
      readFromLog(0, configuration("older"));
      assertEquals(10, versionInForce());
    }

    @Test
    void olderOfferDoesNotReplaceIt() {
      offer(10, configuration("newer"));
      offer(4, configuration("older"));
      assertEquals(10, versionInForce());
    }
  }

  @Nested
  class WhenThereIsNoConfiguration {

    @Test
    void instanceIsNotReadyAndAnswersNotRun() {
      assertEquals(false, engine.isReady());
      assertEquals(Outcome.NOT_RUN, request("check", Optional.empty()).outcome());
    }

    @Test
    void atMostOnceRequestIsAnsweredUnknownSinceAnotherInstanceMayHaveRunIt() {
      Optional<String> ticket = Optional.of("e2@i9-t1-99999999999");
      assertEquals(Outcome.UNKNOWN, request("check", ticket).outcome());
    }
  }

  @Nested
  class WhenInputIsInvalid {

    @Test
    void allFindingsOfOneJobAreReportedTogether() {
      offer(1, configuration("firm"));
      JobSubmission submission =
          new JobSubmission(
              Optional.of("j0-mine@x"),
              "plan",
              0,
              Optional.of(Resources.of(9999, 1, 0)),
              Optional.of(START.minusSeconds(1)),
              "");
      Answer answer = answerTo(new Event.JobSubmitted(1, submission));
      List<String> places =
          ((Answer.Refused) answer).findings().stream().map(each -> each.place()).toList();
      assertEquals(List.of("id", "tasks", "deadline", "resources", "resources"), places);
    }

    @Test
    void unknownServiceIsNamed() {
      offer(1, configuration("firm"));
      Answer answer =
          answerTo(new Event.RequestReceived(1, serviceRequest("chekc", Optional.empty())));
      assertTrue(answer.toString().contains("chekc"), answer::toString);
    }

    @Test
    void requestWithPastDeadlineIsAnsweredDeadlinePassed() {
      offer(1, configuration("firm"));
      ServiceRequest late =
          new ServiceRequest(
              "check",
              Optional.of(START.minusSeconds(1)),
              true,
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              "");
      Answer answer = answerTo(new Event.RequestReceived(1, late));
      assertEquals(Reason.DEADLINE_PASSED, ((Answer.RequestAnswer) answer).reason());
    }
  }

  private void offer(long version, Configuration configuration) {
    Envelope envelope =
        new Envelope(
            new EntryId("e2", "i1"),
            Optional.empty(),
            new ConfigurationOffered(version, configuration.toJson()));
    engine.handle(new Event.PeerMessageReceived(envelope), START);
  }

  private void readFromLog(long offset, Configuration configuration) {
    String body = RecordCodec.encode(new ConfigurationChanged(-1, configuration.toJson()));
    StoredRecord record = new StoredRecord(offset, "r" + offset, START, body);
    StreamName stream = new StreamName("configuration");
    engine.handle(new Event.StreamRead(stream, 0, List.of(record), true), START);
  }

  private long versionInForce() {
    return ((Answer.ConfigurationAnswer) answerTo(new Event.ConfigurationQueried(1))).version();
  }

  private Answer.RequestAnswer request(String service, Optional<String> ticket) {
    return (Answer.RequestAnswer)
        answerTo(new Event.RequestReceived(1, serviceRequest(service, ticket)));
  }

  private Answer answerTo(Event event) {
    return engine.handle(event, START).stream()
        .filter(Effect.Reply.class::isInstance)
        .map(effect -> ((Effect.Reply) effect).answer())
        .findFirst()
        .orElseThrow();
  }

  private static ServiceRequest serviceRequest(String service, Optional<String> ticket) {
    return new ServiceRequest(
        service,
        Optional.empty(),
        ticket.isEmpty(),
        ticket,
        Optional.empty(),
        Optional.empty(),
        "");
  }

  private static Configuration configuration(String name) {
    return Configuration.named(name)
        .with(Team.named("team", Resources.of(10, 1024, 0)))
        .with(WorkClass.service("check", "team"))
        .with(WorkClass.batch("plan", "team"));
  }
}
