package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which members stand for the scheduler's seat. */
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
  void standDependsOnProcessorsAndSilence(
      double processors, long silentMillis, boolean leading, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(processors, START);
    Instant heard = START.plusSeconds(60);
    assertEquals(expected, policy.stands(heard.plusMillis(silentMillis), heard, leading));
  }

  @Test
  void smallMembersWaitAfterTheirStartForOneWithEnough() {
    ElectionPolicy policy = ElectionPolicy.of(0.36, START);
    assertFalse(policy.stands(START.plusSeconds(1), Instant.MIN, false));
    assertTrue(policy.stands(START.plusSeconds(3), Instant.MIN, false));
  }

  @Test
  void smallMembersYieldOnceAndThenKeepTheSeatForSomeTime() {
    ElectionPolicy policy = ElectionPolicy.of(0.36, START);
    assertTrue(policy.yields(START));
    policy.yielded(START);
    assertFalse(policy.yields(START.plusSeconds(9)));
    assertTrue(policy.yields(START.plusSeconds(10)));
  }

  @Test
  void membersWithEnoughNeverYield() {
    assertFalse(ElectionPolicy.of(0.75, START).yields(START));
  }

  @ParameterizedTest
  @CsvSource({
    "100, UNHEARD, false",
    "699, UNHEARD, false",
    "700, UNHEARD, true",
    "100, NONE, true",
    "100, KNOWN, true"
  })
  void membersThatHaveJustStartedWaitForTheLastScheduler(
      long upMillis, ElectionPolicy.LastSchedulerContact last, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(0.75, START);
    assertEquals(expected, policy.begins(START.plusMillis(upMillis), Instant.MIN, false, last));
  }

  @ParameterizedTest
  @CsvSource({"699, true, false", "700, true, true", "100, false, true"})
  void termsBeginWhenTheSchedulerIsSilentOrHasLostTheStore(
      long silentMillis, boolean withStore, boolean expected) {
    ElectionPolicy policy = ElectionPolicy.of(0.75, START);
    Instant heard = START.plusSeconds(60);
    assertEquals(
        expected,
        policy.begins(
            heard.plusMillis(silentMillis),
            heard,
            withStore,
            ElectionPolicy.LastSchedulerContact.KNOWN));
  }
}
