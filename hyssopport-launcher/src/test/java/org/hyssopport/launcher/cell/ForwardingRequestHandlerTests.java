package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the answers to callers while the scheduler is unknown, slow or refuses a request.
 *
 * <p>Guards against refusing a job that a scheduler or the store has accepted in the meantime.
 */
class ForwardingRequestHandlerTests extends AbstractForwardingRequestHandlerTests {

  @Test
  void refusesJobsThatAreTooLargeWithoutPassingThemOn() {
    JobDefinition job =
        SampleJobs.job(JOB, SampleJobs.QUEUE, List.of(SampleJobs.step(2_000)), Instant.EPOCH);
    scheduler.schedulerKnown = true;
    assertEquals(Verdict.TOO_LARGE, handle(new CallerRequest.Submit(job)).verdict());
    assertEquals(0, scheduler.requestsSent);
  }

  @Test
  void reportsUnavailableWhenTheStoreRefusesTheAppend() {
    assertEquals(Verdict.UNAVAILABLE, submit().verdict());
  }

  @Test
  void doesNotRefuseJobsThatSchedulersAcceptedMeanwhile() {
    beforeStoreAnswer =
        () -> {
          scheduler.schedulerKnown = true;
          handler.resendOpenRequests();
        };
    boolean refused = submit().verdict() == Verdict.UNAVAILABLE;
    assertFalse(refused && scheduler.requestsSent > 0);
  }

  @Test
  void doesNotAppendWhileTheStoreIsUnavailable() {
    scheduler.storeAvailable = false;
    beforeStoreAnswer = () -> scheduler.schedulerKnown = true;
    assertEquals(Verdict.UNAVAILABLE, submit().verdict());
    assertFalse(scheduler.schedulerKnown);
  }

  // A request was called uncertain after an append that could not succeed, although the only
  // scheduler that had got it refused it.
  @ParameterizedTest
  @MethodSource(
      "org.hyssopport.launcher.cell.AbstractForwardingRequestHandlerTests#appendedRequests")
  void doesNotAppendWhileTheStoreIsUnavailableAndTheSchedulerSilent(CallerRequest request) {
    scheduler.schedulerKnown = true;
    scheduler.storeAvailable = false;
    storeAnswersLost = true;
    scheduler.afterSend =
        () -> {
          scheduler.afterSend = () -> {};
          Threads.pause(SLOW_ANSWER_MILLIS);
          for (int sent = scheduler.requestsSent; sent > 0; sent--) {
            handler.onSchedulerAnswer(scheduler.sentNumber, CallerAnswer.of(Verdict.UNAVAILABLE));
          }
        };
    CallerAnswer answer = handler.handle(request, clock.instant().plusSeconds(3));
    assertEquals(Verdict.UNAVAILABLE, answer.verdict());
  }

  @Test
  void answersAtOnceThatStatesAreUnavailableWithoutSchedulerAndStore() {
    scheduler.schedulerKnown = true;
    scheduler.storeAvailable = false;
    CallerAnswer answer = handler.handle(SHOW, clock.instant().plusSeconds(3));
    assertEquals(Verdict.UNAVAILABLE, answer.verdict());
    assertTrue(answer.retryAfter().isPresent());
  }

  // A request that was lost with a connection waited for the whole time of its caller.
  @Test
  void sendsRequestsAgainWhenTheSchedulerDoesNotReply() {
    scheduler.schedulerKnown = true;
    scheduler.schedulerSeenRecently = true;
    scheduler.afterSend =
        () ->
            scheduler.afterSend =
                () ->
                    handler.onSchedulerAnswer(
                        scheduler.sentNumber, CallerAnswer.of(Verdict.ACCEPTED));
    CallerAnswer answer = handler.handle(SUBMIT, clock.instant().plusSeconds(3));
    assertEquals(Verdict.ACCEPTED, answer.verdict());
  }

  // Callers that had been refused before came back with less time than was kept for sending the
  // answer, and were told that the outcome was uncertain before the scheduler could reply.
  @ParameterizedTest
  @ValueSource(longs = {100, 140, 200})
  void waitsForSchedulersAlsoIfTheCallerHasLittleTimeLeft(long remainingMillis) {
    scheduler.schedulerKnown = true;
    scheduler.schedulerSeenRecently = true;
    scheduler.afterSend =
        () -> {
          Threads.pause(10);
          handler.onSchedulerAnswer(scheduler.sentNumber, CallerAnswer.of(Verdict.ACCEPTED));
        };
    CallerAnswer answer = handler.handle(SUBMIT, clock.instant().plusMillis(remainingMillis));
    assertEquals(Verdict.ACCEPTED, answer.verdict());
  }

  // A cancellation that nobody had got was answered as uncertain.
  @Test
  void refusesCancellationsThatTheStoreRefuses() {
    assertEquals(Verdict.UNAVAILABLE, handle(CANCEL).verdict());
  }

  // The outcome was called uncertain after a few milliseconds, with the caller's time left.
  @ParameterizedTest
  @MethodSource(
      "org.hyssopport.launcher.cell.AbstractForwardingRequestHandlerTests#appendedRequests")
  void repeatsAppendsWhoseAnswersAreLost(CallerRequest request, Verdict verdict) {
    storeAnswersLost = true;
    beforeStoreAnswer = () -> beforeStoreAnswer = () -> storeWorks = true;
    CallerAnswer answer = handler.handle(request, clock.instant().plusSeconds(3));
    assertEquals(verdict, answer.verdict());
  }

  // One scheduler may have stored the job and is gone; the next one refused it and was not asked
  // again while the caller's time passed.
  @Test
  void asksSchedulersAgainAfterRefusalsThatAreNotFinal() {
    scheduler.schedulerKnown = true;
    scheduler.schedulerSeenRecently = true;
    CallerAnswer refusal = CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, Duration.ofSeconds(1));
    scheduler.afterSend =
        () -> {
          scheduler.afterSend = () -> {};
          handler.resendOpenRequests();
          handler.onSchedulerAnswer(scheduler.sentNumber, refusal);
          scheduler.afterSend =
              () ->
                  handler.onSchedulerAnswer(
                      scheduler.sentNumber, CallerAnswer.of(Verdict.ACCEPTED));
        };
    CallerAnswer answer = handler.handle(SUBMIT, clock.instant().plusSeconds(3));
    assertEquals(Verdict.ACCEPTED, answer.verdict());
  }

  @Test
  void logLinesOfAnswersContainTheJobOnce() throws IOException {
    submit();
    ObjectMapper strict =
        new ObjectMapper(
            JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build());
    for (String line : loggedLines("answered")) {
      assertEquals("0123456789abcdef", strict.readTree(line).path("request").asText());
    }
  }

  @Test
  void doesNotAppendWhileTheSchedulerIsAlive() {
    scheduler.schedulerKnown = true;
    scheduler.schedulerSeenRecently = true;
    AtomicBoolean appended = new AtomicBoolean();
    beforeStoreAnswer = () -> appended.set(true);
    scheduler.afterSend =
        () -> {
          Threads.pause(SLOW_ANSWER_MILLIS);
          handler.onSchedulerAnswer(scheduler.sentNumber, CallerAnswer.of(Verdict.ACCEPTED));
        };
    CallerAnswer answer = handler.handle(SUBMIT, clock.instant().plusSeconds(3));
    assertEquals(Verdict.ACCEPTED, answer.verdict());
    assertFalse(appended.get());
  }

  /** A refusal is final only once every member that may have stored the job has refused it. */
  @Nested
  class RefusalsOfSchedulers {

    private final CallerAnswer refusal =
        CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, Duration.ofSeconds(1));

    @BeforeEach
    void makeSchedulerKnown() {
      scheduler.schedulerKnown = true;
    }

    @Test
    void areFinalWhenNobodyElseWasAsked() {
      scheduler.afterSend = () -> handler.onSchedulerAnswer(scheduler.sentNumber, refusal);
      assertEquals(Verdict.UNAVAILABLE, submit().verdict());
    }

    @Test
    void areNotFinalWhileAnEarlierSchedulerMayHaveStoredTheJob() {
      scheduler.afterSend = this::refuseAsSecondScheduler;
      assertEquals(Verdict.UNCERTAIN, submit().verdict());
    }

    @Test
    void areFinalOnceEverySchedulerThatWasAskedHasRefused() {
      scheduler.afterSend =
          () -> {
            refuseAsSecondScheduler();
            handler.onSchedulerAnswer(scheduler.sentNumber, refusal);
          };
      assertEquals(Verdict.UNAVAILABLE, submit().verdict());
    }

    @Test
    void areNotFinalAfterAnUnansweredAppendByTheMember() {
      storeAnswersLost = true;
      beforeStoreAnswer = () -> handler.onSchedulerAnswer(scheduler.sentNumber, refusal);
      assertEquals(Verdict.UNCERTAIN, submit().verdict());
    }

    // A caller was told that a job had not run which the member had appended after the refusal.
    @Test
    void areFinalIfTheyArriveBeforeTheMemberAppends() {
      scheduler.schedulerSeenRecently = true;
      storeAnswersLost = true;
      AtomicInteger appends = new AtomicInteger();
      beforeStoreAnswer = appends::incrementAndGet;
      scheduler.beforeStoreAvailable =
          () -> {
            for (int sent = scheduler.requestsSent; sent > 0; sent--) {
              handler.onSchedulerAnswer(scheduler.sentNumber, refusal);
            }
          };
      CallerAnswer answer = handler.handle(SUBMIT, clock.instant().plusSeconds(3));
      assertEquals(Verdict.UNAVAILABLE, answer.verdict());
      assertEquals(0, appends.get());
    }

    private void refuseAsSecondScheduler() {
      scheduler.afterSend = () -> {};
      handler.resendOpenRequests();
      handler.onSchedulerAnswer(scheduler.sentNumber, refusal);
    }
  }

  /** A scheduler that does not lead any more returns what it was sent. */
  @Nested
  class RequestsThatSchedulersReturn {

    @BeforeEach
    void makeSchedulerKnown() {
      scheduler.schedulerKnown = true;
      scheduler.schedulerSeenRecently = true;
    }

    private void returnAndForgetScheduler() {
      scheduler.schedulerKnown = false;
      handler.onNotTaken(scheduler.sentNumber);
    }

    @ParameterizedTest
    @MethodSource(
        "org.hyssopport.launcher.cell.AbstractForwardingRequestHandlerTests#appendedRequests")
    void areStoredByTheMemberIfThereIsNoNextScheduler(CallerRequest request, Verdict verdict) {
      storeWorks = true;
      scheduler.afterSend = this::returnAndForgetScheduler;
      assertEquals(verdict, handle(request).verdict());
    }

    @Test
    void areSentToTheNextScheduler() {
      scheduler.afterSend =
          () -> {
            scheduler.afterSend =
                () ->
                    handler.onSchedulerAnswer(
                        scheduler.sentNumber, CallerAnswer.of(Verdict.ACCEPTED));
            handler.onNotTaken(scheduler.sentNumber);
          };
      assertEquals(Verdict.ACCEPTED, submit().verdict());
      assertEquals(2, scheduler.requestsSent);
    }

    @Test
    void areRefusedIfTheStoreRefusesThemToo() {
      scheduler.afterSend = this::returnAndForgetScheduler;
      assertEquals(Verdict.UNAVAILABLE, submit().verdict());
    }

    @Test
    void areNotRefusedIfAnotherSchedulerMayHaveTakenThem() {
      scheduler.afterSend =
          () -> {
            scheduler.afterSend = () -> {};
            handler.resendOpenRequests();
            scheduler.schedulerSeenRecently = false;
            returnAndForgetScheduler();
          };
      assertEquals(Verdict.UNCERTAIN, submit().verdict());
    }

    @Test
    void areNotRefusedIfTheMemberMayHaveStoredThem() {
      scheduler.schedulerSeenRecently = false;
      storeAnswersLost = true;
      beforeStoreAnswer =
          () -> {
            beforeStoreAnswer = () -> storeAnswersLost = false;
            returnAndForgetScheduler();
          };
      assertEquals(Verdict.UNCERTAIN, submit().verdict());
    }

    @Test
    void areNotRefusedIfTheNextSchedulerIsFoundMeanwhile() {
      scheduler.afterSend = this::returnAndForgetScheduler;
      beforeStoreAnswer =
          () -> {
            scheduler.afterSend = () -> {};
            scheduler.schedulerKnown = true;
            handler.resendOpenRequests();
          };
      boolean refused = submit().verdict() == Verdict.UNAVAILABLE;
      assertFalse(refused && scheduler.requestsSent > 1);
    }
  }

  /** A scheduler answers the member's address, and may still owe answers to an earlier process. */
  @Nested
  class AnswersOwedToAnEarlierProcess {

    // A member that restarted told a caller that a job was accepted which nobody had stored, since
    // its requests had the numbers of its earlier process.
    @ParameterizedTest
    @MethodSource(
        "org.hyssopport.launcher.cell.ForwardingRequestHandlerTests#answersOfTheRequestsKind")
    void doNotCompleteRequestsOfTheProcessThatReplacedIt(
        CallerRequest request, CallerAnswer owedAnswer, CallerAnswer ownAnswer) {
      scheduler.schedulerKnown = true;
      scheduler.schedulerSeenRecently = true;
      assertEquals(Verdict.UNCERTAIN, handle(request).verdict());
      long numberOfEarlierProcess = scheduler.sentNumber;
      handler = newHandler();
      scheduler.afterSend =
          () -> {
            handler.onSchedulerAnswer(numberOfEarlierProcess, owedAnswer);
            handler.onSchedulerAnswer(scheduler.sentNumber, ownAnswer);
          };
      assertEquals(ownAnswer, handle(request));
      assertFalse(loggedLines("answer to an earlier process dropped").isEmpty());
    }
  }

  /** Each request with an answer of its kind that is not its own, and with its own. */
  static List<Arguments> answersOfTheRequestsKind() {
    return List.of(
        Arguments.of(SUBMIT, CallerAnswer.of(Verdict.ACCEPTED), CallerAnswer.of(Verdict.REJECTED)),
        Arguments.of(
            SHOW, CallerAnswer.state(JobState.COMPLETE), CallerAnswer.state(JobState.QUEUED)),
        Arguments.of(
            CANCEL, CallerAnswer.of(Verdict.CANCELLED), CallerAnswer.of(Verdict.UNKNOWN_JOB)));
  }

  /** An answer that can't be the answer to the request is not passed on to the caller. */
  @Nested
  class AnswersOfAnotherKind {

    @BeforeEach
    void makeSchedulerKnown() {
      scheduler.schedulerKnown = true;
      scheduler.schedulerSeenRecently = true;
    }

    // A caller that asked for a job's state got status 200 without a state.
    @ParameterizedTest
    @MethodSource("org.hyssopport.launcher.cell.ForwardingRequestHandlerTests#answersOfAnotherKind")
    void leaveRequestsOpenForTheirOwnAnswers(
        CallerRequest request, CallerAnswer otherAnswer, CallerAnswer ownAnswer) {
      scheduler.afterSend =
          () -> {
            handler.onSchedulerAnswer(scheduler.sentNumber, otherAnswer);
            handler.onSchedulerAnswer(scheduler.sentNumber, ownAnswer);
          };
      assertEquals(ownAnswer, handle(request));
    }

    @ParameterizedTest
    @MethodSource("org.hyssopport.launcher.cell.ForwardingRequestHandlerTests#answersOfAnotherKind")
    void leaveRequestsUncertainAtTheirDeadline(CallerRequest request, CallerAnswer otherAnswer) {
      scheduler.afterSend = () -> handler.onSchedulerAnswer(scheduler.sentNumber, otherAnswer);
      assertEquals(Verdict.UNCERTAIN, handle(request).verdict());
      assertFalse(loggedLines("answer does not fit the request").isEmpty());
    }
  }

  /** Each request with an answer that can't be its own, and with its own. */
  static List<Arguments> answersOfAnotherKind() {
    CallerAnswer accepted = CallerAnswer.of(Verdict.ACCEPTED);
    CallerAnswer rejected = CallerAnswer.of(Verdict.REJECTED);
    CallerAnswer cancelled = CallerAnswer.of(Verdict.CANCELLED);
    CallerAnswer unknownJob = CallerAnswer.of(Verdict.UNKNOWN_JOB);
    CallerAnswer queued = CallerAnswer.state(JobState.QUEUED);
    return List.of(
        Arguments.of(SUBMIT, queued, accepted),
        Arguments.of(SUBMIT, cancelled, accepted),
        Arguments.of(SUBMIT, unknownJob, accepted),
        Arguments.of(SHOW, accepted, queued),
        Arguments.of(SHOW, rejected, queued),
        Arguments.of(SHOW, cancelled, queued),
        Arguments.of(CANCEL, accepted, cancelled),
        Arguments.of(CANCEL, rejected, cancelled),
        Arguments.of(CANCEL, queued, cancelled));
  }
}
