package org.hyssopport.testkit.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunId;

/**
 * Checks that the failed runs of each task, and of each gang as a whole, are counted once: no run
 * starts beyond the attempts, and no job is shown as failed before they are used up.
 */
final class AttemptChecker {

  private final Map<JobId, Integer> attemptsByJob = new HashMap<>();
  private final Map<Object, List<FailedRun>> failedRuns = new HashMap<>();
  private final List<LateStart> lateStarts = new ArrayList<>();

  /** The numbers of all failed runs, also of those whose ends were lost after they were read. */
  private final Map<Object, Set<Integer>> failedNumbers = new HashMap<>();

  private final Map<JobId, Integer> mostFailuresByJob = new HashMap<>();

  /** A run that ended as failed, and whether the scheduler has acknowledged its end. */
  private static final class FailedRun {
    private final RunId run;
    private final WorkerId worker;
    private boolean acknowledged;

    private FailedRun(RunId run, WorkerId worker) {
      this.run = run;
      this.worker = worker;
    }
  }

  /**
   * A start after so many runs had failed that it is a finding once their ends are acknowledged.
   */
  private record LateStart(String finding, int attempts, List<FailedRun> failed) {}

  void recordSubmission(JobId job, int attempts) {
    attemptsByJob.put(job, attempts);
  }

  /** Returns what the failures of a run are counted for: its gang, or its task alone. */
  private static Object unitOf(RunId run, boolean gang) {
    return gang ? run.task().step() : run.task();
  }

  private static int countRuns(List<FailedRun> failed, boolean acknowledgedOnly) {
    Set<Integer> numbers = new HashSet<>();
    for (FailedRun failedRun : failed) {
      if (failedRun.acknowledged || !acknowledgedOnly) {
        numbers.add(failedRun.run.number());
      }
    }
    return numbers.size();
  }

  void recordFailure(RunId run, WorkerId worker, boolean gang) {
    Object unit = unitOf(run, gang);
    failedRuns.computeIfAbsent(unit, each -> new ArrayList<>()).add(new FailedRun(run, worker));
    Set<Integer> numbers = failedNumbers.computeIfAbsent(unit, each -> new HashSet<>());
    numbers.add(run.number());
    mostFailuresByJob.merge(run.task().step().job(), numbers.size(), Math::max);
  }

  /** Forgets the ends that a worker has lost before they were acknowledged. */
  void discardUnacknowledged(WorkerId worker) {
    failedRuns
        .values()
        .forEach(
            failed ->
                failed.removeIf(
                    failedRun -> failedRun.worker.equals(worker) && !failedRun.acknowledged));
  }

  void recordStart(RunId run, boolean gang, String at) {
    int attempts = attemptsByJob.getOrDefault(run.task().step().job(), Integer.MAX_VALUE);
    List<FailedRun> failed = failedRuns.getOrDefault(unitOf(run, gang), List.of());
    if (countRuns(failed, false) >= attempts) {
      lateStarts.add(
          new LateStart(
              at + " started after its attempts were used up: " + run,
              attempts,
              List.copyOf(failed)));
    }
  }

  /** Records that the end of a run was acknowledged; returns the findings that follow. */
  List<String> recordAcknowledgement(RunId run) {
    failedRuns.values().stream()
        .flatMap(List::stream)
        .filter(failedRun -> failedRun.run.equals(run))
        .forEach(failedRun -> failedRun.acknowledged = true);
    List<String> findings = new ArrayList<>();
    lateStarts.removeIf(
        start -> {
          boolean usedUp = countRuns(start.failed(), true) >= start.attempts();
          if (usedUp) {
            findings.add(start.finding());
          }
          return usedUp;
        });
    return findings;
  }

  /** Returns whether a task or gang of the job has failed as often as its queue allows. */
  boolean isUsedUp(JobId job) {
    return mostFailuresByJob.getOrDefault(job, 0) >= attemptsByJob.getOrDefault(job, 0);
  }
}
