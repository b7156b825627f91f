package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.hyssopport.launcher.cell.ElectionPolicy.HandOverReason;
import org.hyssopport.launcher.cell.ElectionPolicy.LastSchedulerContact;
import org.hyssopport.launcher.cell.ElectionPolicy.SchedulerContact;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which members are candidates, begin a term, and hand over leadership. */
class ElectionPolicyTests {

  private static final Instant START = Instant.parse("2026-12-04T06:00:00Z");

  private static final Optional<SchedulerRank> SUITED_SUCCESSOR = Optional.of(SchedulerRank.SUITED);

  private static ElectionPolicy policyOf(double processors) {
    return ElectionPolicy.of(SchedulerRank.of(processors, 1000, 430), START);
  }

  // The one with a narrow link was a candidate at once, led, and a calm day was lost.
  @ParameterizedTest
  @CsvSource({
    "SUITED, 0, true",
    "NARROW_LINK, 2249, false",
    "NARROW_LINK, 2250, true",
    "FEW_PROCESSORS, 2999, false",
    "FEW_PROCESSORS, 3000, true",
    "UNSUITED, 2999, false",
    "UNSUITED, 3000, true"
  })
  void candidacyDependsOnRankAndSilence(SchedulerRank rank, long silentMillis, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(rank, START);
    Instant schedulerSeenAt = START.plusSeconds(60);
    assertEquals(
        expected,
        policy.isCandidate(
            schedulerSeenAt.plusMillis(silentMillis), schedulerSeenAt, Instant.MIN, false));
  }

  @ParameterizedTest
  @CsvSource({
    "SUITED, SUITED, false",
    "NARROW_LINK, SUITED, true",
    "NARROW_LINK, NARROW_LINK, false",
    "NARROW_LINK, FEW_PROCESSORS, false",
    "FEW_PROCESSORS, NARROW_LINK, true",
    "UNSUITED, FEW_PROCESSORS, true",
    "NARROW_LINK,, false"
  })
  void leadershipIsHandedOverToBetterRankedMembersOnly(
      SchedulerRank rank, SchedulerRank bestSuccessor, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(rank, START);
    assertEquals(expected, policy.shouldHandOver(START, Optional.ofNullable(bestSuccessor)));
  }

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
    ElectionPolicy policy = policyOf(processors);
    Instant schedulerSeenAt = START.plusSeconds(60);
    assertEquals(
        expected,
        policy.isCandidate(
            schedulerSeenAt.plusMillis(silentMillis), schedulerSeenAt, Instant.MIN, leading));
  }

  @Test
  void smallMembersDelayTheirCandidacyAfterTheirStart() {
    ElectionPolicy policy = policyOf(0.36);
    assertFalse(policy.isCandidate(START.plusSeconds(1), Instant.MIN, Instant.MIN, false));
    assertTrue(policy.isCandidate(START.plusSeconds(3), Instant.MIN, Instant.MIN, false));
  }

  // After an outage of the store of 7 s, a small member took over as the first one and read the
  // journal for 11 s.
  @ParameterizedTest
  @CsvSource({"0.36, 0, false", "0.36, 2900, false", "0.36, 3000, true", "0.75, 0, true"})
  void smallMembersDelayTheirCandidacyAfterAnOutageOfTheStore(
      double processors, long millisSinceOutage, boolean expected) {
    ElectionPolicy policy = policyOf(processors);
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
    ElectionPolicy policy = policyOf(0.36);
    assertTrue(policy.shouldHandOver(START, SUITED_SUCCESSOR));
    policy.recordHandOver(START, HandOverReason.BETTER_RANK);
    assertFalse(policy.shouldHandOver(START.plusSeconds(9), SUITED_SUCCESSOR));
    assertTrue(policy.shouldHandOver(START.plusSeconds(10), SUITED_SUCCESSOR));
  }

  @Test
  void membersWithRequiredProcessorsNeverHandOver() {
    assertFalse(policyOf(0.75).shouldHandOver(START, SUITED_SUCCESSOR));
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
    ElectionPolicy policy = policyOf(0.75);
    SchedulerContact contact = new SchedulerContact(Instant.MIN, false, false, lastContact);
    assertEquals(
        expected, policy.mayBeginTerm(START.plusMillis(uptimeMillis), contact, Instant.MIN));
  }

  @ParameterizedTest
  @CsvSource({"699, true, false", "700, true, true", "100, false, true"})
  void termsBeginWhenTheSchedulerIsSilentOrHasLostTheStore(
      long silentMillis, boolean schedulerReachedStore, boolean expected) {
    ElectionPolicy policy = policyOf(0.75);
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
    ElectionPolicy policy = policyOf(0.75);
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

  // A scheduler whose processor was 8 times slower for half of a day went on leading.
  @ParameterizedTest
  @CsvSource({
    "SUITED, SUITED, 10000, true",
    "SUITED, SUITED, 9999, false",
    "SUITED, NARROW_LINK, 10000, false",
    "NARROW_LINK, NARROW_LINK, 10000, true",
    "SUITED,, 10000, false"
  })
  void congestedSchedulersHandOverToMembersThatRankAsWell(
      SchedulerRank rank, SchedulerRank bestSuccessor, long termMillis, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(rank, START);
    assertEquals(
        expected,
        policy.shouldHandOverCongestion(
            START.plusMillis(termMillis), Optional.ofNullable(bestSuccessor), START));
  }

  // Under a load that is too high for all, leadership would circle.
  @Test
  void congestionIsHandedOverOnceInSomeTime() {
    ElectionPolicy policy = policyOf(0.75);
    Instant otherHandedOverAt = START.plusSeconds(20);
    policy.recordCongestionHandOver(otherHandedOverAt);
    assertFalse(policy.shouldHandOverCongestion(START.plusSeconds(79), SUITED_SUCCESSOR, START));
    assertTrue(policy.shouldHandOverCongestion(START.plusSeconds(80), SUITED_SUCCESSOR, START));
  }

  @Test
  void membersThatHandedOverLeaveTheNextTermToOthers() {
    ElectionPolicy policy = policyOf(0.75);
    policy.recordHandOver(START, HandOverReason.BETTER_RANK);
    assertFalse(policy.isCandidate(START.plusMillis(2999), START, Instant.MIN, false));
    assertTrue(policy.isCandidate(START.plusMillis(3000), START, Instant.MIN, false));
  }
}
