package org.hyssopport.testkit.oracle;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hyssopport.testkit.oracle.History.Departure;
import org.hyssopport.testkit.oracle.History.VersionInForce;
import org.hyssopport.testkit.oracle.ReportedOutcome.ExecutionGuarantee;
import org.hyssopport.testkit.oracle.ReportedOutcome.Verdict;

/**
 * Checks a history against the system's safety guarantees: capacity, tasks in one place at a time,
 * correct outcomes and answers, gangs that run together, at most one run per key or ticket, no new
 * runs on leaving workers, and no return to an older configuration.
 *
 * @since 0.1
 */
public final class Oracle {

  private final History history;
  private final List<String> violations = new ArrayList<>();

  private Oracle(History history) {
    this.history = history;
  }

  /** Returns a description of every violation; empty if the history has none. */
  public static List<String> check(History history) {
    Oracle oracle = new Oracle(history);
    oracle.checkCapacity();
    oracle.checkNoConcurrentRuns();
    oracle.checkReportedOutcomes();
    oracle.checkGangs();
    oracle.checkAtMostOnce();
    oracle.checkDepartures();
    oracle.checkVersions();
    return oracle.violations;
  }

  private void checkCapacity() {
    Map<String, List<Run>> byWorker =
        history.runs().stream().collect(Collectors.groupingBy(Run::worker));
    for (Capacity capacity : history.capacities()) {
      List<Run> runs = byWorker.getOrDefault(capacity.worker(), List.of());
      for (Run run : runs) {
        checkCapacityAt(capacity, runs, run.start());
      }
    }
  }

  private void checkCapacityAt(Capacity capacity, List<Run> runs, Instant moment) {
    long processors = 0;
    long memory = 0;
    long accelerators = 0;
    int count = 0;
    for (Run run : runs) {
      if (!run.start().isAfter(moment) && run.end().isAfter(moment)) {
        processors += run.milliProcessors();
        memory += run.memoryMebibytes();
        accelerators += run.accelerators();
        count++;
      }
    }
    boolean overCapacity =
        processors > capacity.milliProcessors()
            || memory > capacity.memoryMebibytes()
            || accelerators > capacity.accelerators()
            || count > capacity.slots();
    if (overCapacity) {
      violations.add(
          "worker "
              + capacity.worker()
              + " was over its capacity at "
              + moment
              + " with "
              + count
              + " runs");
    }
  }

  private void checkNoConcurrentRuns() {
    Set<String> repeatable =
        history.reportedOutcomes().stream()
            .filter(reported -> reported.guarantee() == ExecutionGuarantee.REPEATABLE)
            .map(ReportedOutcome::payload)
            .collect(Collectors.toSet());
    history.runs().stream()
        .filter(run -> !repeatable.contains(run.payload()))
        .collect(Collectors.groupingBy(Run::task))
        .forEach(this::checkNoOverlap);
  }

  private void checkNoOverlap(String id, List<Run> runs) {
    List<Run> ordered = new ArrayList<>(runs);
    ordered.sort(Comparator.comparing(Run::start));
    for (int index = 1; index < ordered.size(); index++) {
      Run before = ordered.get(index - 1);
      Run after = ordered.get(index);
      if (before.overlaps(after)) {
        violations.add(
            id
                + " ran in two places at once: "
                + before.worker()
                + " and "
                + after.worker()
                + " at "
                + after.start());
      }
    }
  }

  private void checkReportedOutcomes() {
    Map<String, List<Run>> runsByPayload =
        history.runs().stream().collect(Collectors.groupingBy(Run::payload));
    for (ReportedOutcome reported : history.reportedOutcomes()) {
      List<Run> runs = runsByPayload.getOrDefault(reported.payload(), List.of());
      if (reported.verdict() == Verdict.NOT_RUN && !runs.isEmpty()) {
        violations.add(
            reported.payload() + " was reported as not run, but ran on " + runs.get(0).worker());
      }
      if (reported.verdict() == Verdict.DONE && runs.stream().noneMatch(Run::done)) {
        violations.add(reported.payload() + " was reported as done, but no run of it was done");
      }
      boolean checked = reported.verdict() == Verdict.DONE && reported.expectedBody().isPresent();
      if (checked && !reported.body().equals(reported.expectedBody())) {
        violations.add(reported.payload() + " got a wrong answer: " + reported.body());
      }
    }
  }

  private void checkGangs() {
    for (ReportedOutcome reported : history.reportedOutcomes()) {
      boolean hasDoneRun = history.runs().stream().anyMatch(run -> isDoneRunOf(run, reported));
      if (reported.guarantee() == ExecutionGuarantee.GANG_JOB
          && reported.verdict() == Verdict.DONE
          && hasDoneRun) {
        checkGangRanTogether(reported.payload());
      }
    }
  }

  private static boolean isDoneRunOf(Run run, ReportedOutcome reported) {
    return run.done() && run.payload().equals(reported.payload());
  }

  private void checkGangRanTogether(String payload) {
    Map<String, Run> lastDone = new HashMap<>();
    for (Run run : history.runs()) {
      if (run.payload().equals(payload) && run.done()) {
        lastDone.merge(
            run.task(), run, (one, other) -> one.start().isAfter(other.start()) ? one : other);
      }
    }
    Instant latestStart =
        lastDone.values().stream().map(Run::start).max(Comparator.naturalOrder()).orElseThrow();
    Instant earliestEnd =
        lastDone.values().stream().map(Run::end).min(Comparator.naturalOrder()).orElseThrow();
    if (!latestStart.isBefore(earliestEnd)) {
      violations.add(
          payload
              + " was reported as done, but its tasks never ran all together: "
              + lastDone.values());
    }
  }

  private void checkAtMostOnce() {
    Map<String, Long> runCountByPayload =
        history.runs().stream().collect(Collectors.groupingBy(Run::payload, Collectors.counting()));
    history.reportedOutcomes().stream()
        .filter(reported -> reported.guarantee() == ExecutionGuarantee.AT_MOST_ONCE)
        .map(ReportedOutcome::payload)
        .distinct()
        .filter(payload -> runCountByPayload.getOrDefault(payload, 0L) > 1)
        .forEach(
            payload ->
                violations.add(
                    payload
                        + " may run at most once, but ran "
                        + runCountByPayload.get(payload)
                        + " times"));
  }

  private void checkDepartures() {
    for (Departure departure : history.departures()) {
      for (Run run : history.runs()) {
        boolean late = run.start().isAfter(departure.lastStartAllowed());
        if (run.worker().equals(departure.worker()) && late) {
          violations.add(
              run.task()
                  + " started at "
                  + run.start()
                  + " on "
                  + run.worker()
                  + ", which was leaving");
        }
      }
    }
  }

  private void checkVersions() {
    Map<String, Long> newest = new HashMap<>();
    for (VersionInForce version : history.versions()) {
      long before = newest.getOrDefault(version.incarnation(), Long.MIN_VALUE);
      if (version.version() <= before) {
        violations.add(
            version.incarnation()
                + " went from configuration "
                + before
                + " back to "
                + version.version());
      }
      newest.put(version.incarnation(), version.version());
    }
  }
}
