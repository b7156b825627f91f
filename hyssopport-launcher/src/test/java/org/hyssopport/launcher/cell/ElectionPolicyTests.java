package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.hyssopport.launcher.cell.ElectionPolicy.LastSchedulerContact;
import org.hyssopport.launcher.cell.ElectionPolicy.SchedulerContact;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which members are candidates, begin a term, and hand over leadership. */
class ElectionPolicyTests {

  private static final Instant START = Instant.parse("2026-12-04T06:00:00Z");

  @ParameterizedTest
  @CsvSource({
    "0.75, 0, false, true",
    "1.5, 0, false, true",
    "0.36, 0, false, false",
    "0.36, 2900, false, false",
    "0.36, 3000, false, true",
    "0.36, 0, true, true"
  })
  void candidacyDependsOnProcessorsAndSilence(
      double processors, long silentMillis, boolean leading, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(processors, START);
    Instant schedulerSeenAt = START.plusSeconds(60);
    assertEquals(
        expected,
        policy.isCandidate(
            schedulerSeenAt.plusMillis(silentMillis), schedulerSeenAt, Instant.MIN, leading));
  }

  @Test
  void smallMembersDelayTheirCandidacyAfterTheirStart() {
    ElectionPolicy policy = ElectionPolicy.of(0.36, START);
    assertFalse(policy.isCandidate(START.plusSeconds(1), Instant.MIN, Instant.MIN, false));
    assertTrue(policy.isCandidate(START.plusSeconds(3), Instant.MIN, Instant.MIN, false));
  }

  // After an outage of the store of 7 s, a small member took over as the first one and read the
  // journal for 11 s.
  @ParameterizedTest
  @CsvSource({"0.36, 0, false", "0.36, 2900, false", "0.36, 3000, true", "0.75, 0, true"})
  void smallMembersDelayTheirCandidacyAfterAnOutageOfTheStore(
      double processors, long millisSinceOutage, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(processors, START);
    Instant storeRegainedAt = START.plusSeconds(60);
    Instant schedulerSeenAt = storeRegainedAt.minusSeconds(7);
    assertEquals(
        expected,
        policy.isCandidate(
            storeRegainedAt.plusMillis(millisSinceOutage),
            schedulerSeenAt,
            storeRegainedAt,
            false));
  }

  @Test
  void smallMembersHandOverOnceAndThenKeepLeadershipForSomeTime() {
    ElectionPolicy policy = ElectionPolicy.of(0.36, START);
    assertTrue(policy.shouldHandOver(START));
    policy.recordHandOver(START);
    assertFalse(policy.shouldHandOver(START.plusSeconds(9)));
    assertTrue(policy.shouldHandOver(START.plusSeconds(10)));
  }

  @Test
  void membersWithRequiredProcessorsNeverHandOver() {
    assertFalse(ElectionPolicy.of(0.75, START).shouldHandOver(START));
  }

  @ParameterizedTest
  @CsvSource({
    "100, NOT_ANSWERED, false",
    "699, NOT_ANSWERED, false",
    "700, NOT_ANSWERED, true",
    "100, NONE, true",
    "100, ANSWERED, true"
  })
  void membersThatHaveJustStartedWaitForTheLastScheduler(
      long uptimeMillis, LastSchedulerContact lastContact, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(0.75, START);
    SchedulerContact contact = new SchedulerContact(Instant.MIN, false, false, lastContact);
    assertEquals(
        expected, policy.mayBeginTerm(START.plusMillis(uptimeMillis), contact, Instant.MIN));
  }

  @ParameterizedTest
  @CsvSource({"699, true, false", "700, true, true", "100, false, true"})
  void termsBeginWhenTheSchedulerIsSilentOrHasLostTheStore(
      long silentMillis, boolean schedulerReachedStore, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(0.75, START);
    Instant schedulerSeenAt = START.plusSeconds(60);
    SchedulerContact contact =
        new SchedulerContact(
            schedulerSeenAt, true, schedulerReachedStore, LastSchedulerContact.ANSWERED);
    assertEquals(
        expected,
        policy.mayBeginTerm(schedulerSeenAt.plusMillis(silentMillis), contact, Instant.MIN));
  }

  // The first member that reached the store after an outage deposed a healthy scheduler.
  @ParameterizedTest
  @CsvSource({
    "true, 100, 1199, false",
    "true, 100, 1200, true",
    "true, 700, 100, true",
    "false, 100, 100, true"
  })
  void schedulersThatLeadGetTheTimeToReachTheStoreAfterAnOutage(
      boolean leads, long silentMillis, long millisSinceOutage, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(0.75, START);
    Instant now = START.plusSeconds(60);
    SchedulerContact contact =
        new SchedulerContact(
            now.minusMillis(silentMillis), leads, false, LastSchedulerContact.ANSWERED);
    assertEquals(expected, policy.mayBeginTerm(now, contact, now.minusMillis(millisSinceOutage)));
  }

  @ParameterizedTest
  @CsvSource({"true, true, 300", "true, false, 300", "false, false, 300", "false, true, 100"})
  void membersCallTheGroupMoreOftenWhileOnlyTheSchedulerIsMissing(
      boolean schedulerKnown, boolean storeAvailable, long expectedMillis) {
    assertEquals(
        Duration.ofMillis(expectedMillis),
        ElectionPolicy.joinInterval(schedulerKnown, storeAvailable));
  }
}
