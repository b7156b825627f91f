package org.hyssopport.engine.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hyssopport.engine.admission.AdmissionDecision.Outcome;
import org.hyssopport.engine.admission.AdmissionRequest.OrganisationLoad;
import org.hyssopport.engine.job.JobId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A job of 2 s that is allowed 4 s, and so of use for 12 s, at a room of 100 processors. */
class AdmissionControlTests {

  private static final Instant NOW = Instant.parse("2026-12-04T06:00:00Z");
  private static final Duration CHAIN = Duration.ofSeconds(2);
  private static final Duration ALLOWED = Duration.ofSeconds(4);
  private static final double ROOM = 100;

  private static AdmissionRequest request(
      String id, Instant askedAt, double workAhead, Optional<OrganisationLoad> own) {
    return new AdmissionRequest(new JobId(id), askedAt, ALLOWED, CHAIN, workAhead, ROOM, own);
  }

  private static AdmissionDecision decide(double workAhead, Optional<OrganisationLoad> own) {
    return AdmissionControl.decide(request("0123456789abcdef", NOW, workAhead, own), NOW);
  }

  @ParameterizedTest
  @CsvSource({
    "0, ADMITTED",
    "200, ADMITTED",
    // Late, and of use.
    "300, ADMITTED",
    "999, ADMITTED",
    "1001, NO_ROOM_IN_TIME"
  })
  void refusesWhatCannotBeOfUse(double workAhead, Outcome outcome) {
    assertEquals(outcome, decide(workAhead, Optional.empty()).outcome());
  }

  @ParameterizedTest
  @CsvSource({"99, ADMITTED", "101, LIMIT_REACHED"})
  void refusesWhatAnOrganisationMayNotRunWhileItIsOfUse(double ownWork, Outcome outcome) {
    OrganisationLoad own = new OrganisationLoad(ownWork, ROOM / 10);
    assertEquals(outcome, decide(200, Optional.of(own)).outcome());
  }

  @Test
  void admitsEverythingWhileThereAreNoWorkers() {
    AdmissionRequest request =
        new AdmissionRequest(
            new JobId("0123456789abcdef"), NOW, ALLOWED, CHAIN, 5000, 0, Optional.empty());
    assertEquals(Outcome.ADMITTED, AdmissionControl.decide(request, NOW).outcome());
  }

  @Test
  void resultsAreOfUseFromTheFirstRequestOn() {
    Instant earlier = NOW.minusSeconds(3);
    assertEquals(
        NOW.plusSeconds(9),
        AdmissionControl.decide(request("0123456789abcdef", earlier, 0, Optional.empty()), NOW)
            .limit());
  }

  @Test
  void callersReturnOnceThereIsRoomAndNotAllAtOneTime() {
    // The backlog has to shrink by 4 s of work.
    double workAhead = 1400;
    long[] seconds =
        IntStream.range(0, 200)
            .mapToObj(number -> String.format("%016x", number))
            .map(id -> request(id, NOW, workAhead, Optional.empty()))
            .mapToLong(request -> AdmissionControl.decide(request, NOW).retryAfter().toMillis())
            .sorted()
            .toArray();
    assertTrue(seconds[0] >= 4000, () -> "returns after " + seconds[0] + " ms");
    assertTrue(seconds[199] <= 6000, () -> "returns after " + seconds[199] + " ms");
    long inFirstHalf = IntStream.range(0, 200).filter(index -> seconds[index] < 5000).count();
    assertTrue(Math.abs(inFirstHalf - 100) < 30, () -> inFirstHalf + " of 200 in the first half");
  }
}
