package org.hyssopport.testkit.oracle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.testkit.oracle.History.Departure;
import org.hyssopport.testkit.oracle.History.VersionInForce;
import org.hyssopport.testkit.oracle.ReportedOutcome.ExecutionGuarantee;
import org.hyssopport.testkit.oracle.ReportedOutcome.Verdict;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The oracle accepts a valid history and reports each violation of a guarantee. */
class OracleTests {

  @Test
  void validHistoryHasNoViolations() {
    assertEquals(List.of(), Oracle.check(validHistory()));
  }

  @ParameterizedTest
  @EnumSource(InjectedViolation.class)
  void brokenHistoryIsRejected(InjectedViolation injected) {
    History history = validHistory();
    injected.addTo(history);
    List<String> violations = Oracle.check(history);
    assertTrue(
        violations.stream().anyMatch(each -> each.contains(injected.expectedText)),
        violations::toString);
  }

  private static History validHistory() {
    History history = History.empty();
    history.add(new Capacity("w1", 2000, 2048, 1, 2));
    history.add(run("w1", "r1", "a", 0, 10, true));
    history.add(run("w1", "j/0", "b", 5, 20, true));
    history.add(reportedOutcome("a", ExecutionGuarantee.AT_MOST_ONCE, Verdict.DONE, "right"));
    history.add(reportedOutcome("b", ExecutionGuarantee.JOB, Verdict.DONE, "right"));
    history.add(reportedOutcome("c", ExecutionGuarantee.REPEATABLE, Verdict.NOT_RUN, "right"));
    history.add(new Departure("w1", Instant.ofEpochSecond(100)));
    history.add(new VersionInForce("e1", 1));
    history.add(new VersionInForce("e1", 4));
    return history;
  }

  private static Run run(
      String worker, String task, String payload, long start, long end, boolean done) {
    return new Run(
        worker,
        task,
        payload,
        Instant.ofEpochSecond(start),
        Instant.ofEpochSecond(end),
        1000,
        1024,
        0,
        done);
  }

  private static ReportedOutcome reportedOutcome(
      String payload, ExecutionGuarantee guarantee, Verdict verdict, String body) {
    return new ReportedOutcome(
        payload, guarantee, verdict, Optional.of(body), Optional.of("right"));
  }

  /** A violation to add to a valid history, with a part of the text that the oracle reports. */
  private enum InjectedViolation {
    OVER_CAPACITY("over its capacity") {
      @Override
      void addTo(History history) {
        history.add(run("w1", "r9", "z", 6, 7, true));
      }
    },
    OVER_ACCELERATORS("over its capacity") {
      @Override
      void addTo(History history) {
        Instant start = Instant.ofEpochSecond(30);
        history.add(new Run("w1", "r9", "z", start, start.plusSeconds(1), 1, 1, 2, true));
      }
    },
    TWO_PLACES("two places") {
      @Override
      void addTo(History history) {
        history.add(run("w2", "j/0", "b", 19, 30, true));
      }
    },
    REPORTED_NOT_RUN_BUT_RAN("reported as not run") {
      @Override
      void addTo(History history) {
        history.add(run("w2", "r3", "c", 40, 41, false));
      }
    },
    REPORTED_DONE_BUT_NEVER_DONE("no run of it was done") {
      @Override
      void addTo(History history) {
        history.add(reportedOutcome("d", ExecutionGuarantee.REPEATABLE, Verdict.DONE, "right"));
      }
    },
    WRONG_ANSWER("wrong answer") {
      @Override
      void addTo(History history) {
        history.add(
            reportedOutcome("a", ExecutionGuarantee.AT_MOST_ONCE, Verdict.DONE, "of another"));
      }
    },
    RAN_TWICE("ran 2 times") {
      @Override
      void addTo(History history) {
        history.add(run("w2", "r2", "a", 50, 51, true));
      }
    },
    STARTED_AFTER_DEPARTURE("was leaving") {
      @Override
      void addTo(History history) {
        history.add(run("w1", "r8", "y", 101, 102, true));
      }
    },
    GANG_NOT_TOGETHER("all together") {
      @Override
      void addTo(History history) {
        history.add(run("w2", "g/0", "e", 40, 45, true));
        history.add(run("w3", "g/1", "e", 46, 50, true));
        history.add(reportedOutcome("e", ExecutionGuarantee.GANG_JOB, Verdict.DONE, "right"));
      }
    },
    REVERTED("back to") {
      @Override
      void addTo(History history) {
        history.add(new VersionInForce("e1", 3));
      }
    };

    private final String expectedText;

    InjectedViolation(String expectedText) {
      this.expectedText = expectedText;
    }

    abstract void addTo(History history);
  }
}
