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
 * Finds every line of what must always hold that a history breaks.
 *
 * @since 0.1
 */
public final class Oracle {

  private final History history;
  private final List<String> violations = new ArrayList<>();

  private Oracle(History history) {
    this.history = history;
  }

  /** Returns all violations in words; none if the history is sound. */
  public static List<String> check(History history) {
    Oracle oracle = new Oracle(history);
    oracle.checkCapacity();
    oracle.checkOnePlace();
    oracle.checkTold();
    oracle.checkTogether();
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
        checkMoment(capacity, runs, run.start());
      }
    }
  }

  private void checkMoment(Capacity capacity, List<Run> runs, Instant moment) {
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
    boolean over =
        processors > capacity.milliProcessors()
            || memory > capacity.memoryMebibytes()
            || accelerators > capacity.accelerators()
            || count > capacity.slots();
    if (over) {
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

  private void checkOnePlace() {
    Set<String> repeatable =
        history.reportedOutcomes().stream()
            .filter(told -> told.guarantee() == ExecutionGuarantee.REPEATABLE)
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

  private void checkTold() {
    Map<String, List<Run>> byWork =
        history.runs().stream().collect(Collectors.groupingBy(Run::payload));
    for (ReportedOutcome told : history.reportedOutcomes()) {
      List<Run> runs = byWork.getOrDefault(told.payload(), List.of());
      if (told.verdict() == Verdict.NOT_RUN && !runs.isEmpty()) {
        violations.add(told.payload() + " was told not run, but ran on " + runs.get(0).worker());
      }
      if (told.verdict() == Verdict.DONE && runs.stream().noneMatch(Run::done)) {
        violations.add(told.payload() + " was told done, but no run of it was done");
      }
      boolean checked = told.verdict() == Verdict.DONE && told.expectedBody().isPresent();
      if (checked && !told.body().equals(told.expectedBody())) {
        violations.add(told.payload() + " got a wrong answer: " + told.body());
      }
    }
  }

  private void checkTogether() {
    for (ReportedOutcome told : history.reportedOutcomes()) {
      boolean ran = history.runs().stream().anyMatch(run -> isDoneRunOf(run, told));
      if (told.guarantee() == ExecutionGuarantee.GANG_JOB
          && told.verdict() == Verdict.DONE
          && ran) {
        checkTogether(told.payload());
      }
    }
  }

  private static boolean isDoneRunOf(Run run, ReportedOutcome told) {
    return run.done() && run.payload().equals(told.payload());
  }

  private void checkTogether(String work) {
    Map<String, Run> lastDone = new HashMap<>();
    for (Run run : history.runs()) {
      if (run.payload().equals(work) && run.done()) {
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
          work + " was told done, but its tasks never ran all together: " + lastDone.values());
    }
  }

  private void checkAtMostOnce() {
    Map<String, Long> runsByWork =
        history.runs().stream().collect(Collectors.groupingBy(Run::payload, Collectors.counting()));
    history.reportedOutcomes().stream()
        .filter(told -> told.guarantee() == ExecutionGuarantee.AT_MOST_ONCE)
        .map(ReportedOutcome::payload)
        .distinct()
        .filter(work -> runsByWork.getOrDefault(work, 0L) > 1)
        .forEach(
            work ->
                violations.add(work + " may run once, but ran " + runsByWork.get(work) + " times"));
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
