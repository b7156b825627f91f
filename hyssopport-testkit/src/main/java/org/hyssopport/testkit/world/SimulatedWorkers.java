package org.hyssopport.testkit.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.TaskId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.RunEnd;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.policy.Resources;

/**
 * All workers of a simulation, the actual durations and planned failures of their tasks, and the
 * coordination of gang members.
 *
 * @since 0.2
 */
public final class SimulatedWorkers {

  /** The name of the service that all workers belong to. */
  public static final String SERVICE = "booking";

  static final Duration LONGEST_LEASE = Duration.ofSeconds(10);
  static final Duration STOP_DELAY = Duration.ofMillis(300);
  static final Duration GANG_WINDOW = Duration.ofSeconds(3);
  static final Duration FAILURE_DELAY = Duration.ofMillis(200);

  private static final int RACK_SIZE = 8;

  private final VirtualTime time;
  private final RunChecker runChecker = new RunChecker();
  private final SimulatedTickets tickets;
  private final Map<WorkerId, SimulatedWorker> workers = new HashMap<>();
  private final List<SimulatedWorker> workersByIndex = new ArrayList<>();
  private final Map<StepId, Map<Integer, Set<RunId>>> startedGangMembers = new HashMap<>();
  private int failingGangMembers = 1;
  private final Map<JobId, Duration> workDurations = new HashMap<>();
  private final Map<JobId, Integer> plannedFailures = new HashMap<>();

  private int expiredEntries;
  private boolean expiredEntriesKnown;

  private SimulatedWorkers(VirtualTime time) {
    this.time = time;
    this.tickets = new SimulatedTickets(time);
  }

  /** Returns the given number of workers of equal capacity, spread over three failure domains. */
  public static SimulatedWorkers of(VirtualTime time, int count, Resources capacity) {
    SimulatedWorkers all = new SimulatedWorkers(time);
    for (int number = 0; number < count; number++) {
      FailureDomain domain = new FailureDomain("domain-" + number % 3);
      String rack = "r" + number % 3 + "-" + number / (3 * RACK_SIZE);
      SimulatedWorker worker =
          new SimulatedWorker(time, all, new WorkerId("worker-" + number), domain, rack, capacity);
      all.workers.put(worker.id(), worker);
      all.workersByIndex.add(worker);
    }
    return all;
  }

  /** Returns the checker that observes the runs of all workers. */
  public RunChecker runChecker() {
    return runChecker;
  }

  /** Returns the tickets that the workers accept. */
  public SimulatedTickets tickets() {
    return tickets;
  }

  /** Returns the worker at an index, modulo the number of workers. */
  public SimulatedWorker atIndex(int index) {
    return workersByIndex.get(index % workersByIndex.size());
  }

  /** Returns the number of workers. */
  public int count() {
    return workersByIndex.size();
  }

  /** Sets how long each task of a job actually takes; the default is the declared estimate. */
  public void setWorkDuration(JobId job, Duration duration) {
    workDurations.put(job, duration);
  }

  /** Sets how many runs of each task of a job fail before one succeeds. */
  public void setPlannedFailures(JobId job, int runs) {
    plannedFailures.put(job, runs);
  }

  /** Returns the worker with an id. */
  public SimulatedWorker find(WorkerId id) {
    return workers.get(id);
  }

  /**
   * Lets the entries of the first workers be missing from the live list for some time, as after an
   * outage of the store. The workers themselves go on.
   *
   * @param count how many workers
   * @param span how long their entries are missing
   * @param knownAsLapsed whether schedulers are told that the entries expired; otherwise, the
   *     workers seem to have left
   */
  public void expireEntries(int count, Duration span, boolean knownAsLapsed) {
    expiredEntries = count;
    expiredEntriesKnown = knownAsLapsed;
    time.after(span, () -> expiredEntries = 0);
  }

  List<WorkerDescription> describeLiveWorkers() {
    return describe(workersByIndex.subList(expiredEntries, workersByIndex.size()));
  }

  /** Returns the workers that schedulers know as lapsed. */
  List<WorkerDescription> describeLapsedWorkers() {
    return expiredEntriesKnown ? describe(workersByIndex.subList(0, expiredEntries)) : List.of();
  }

  private static List<WorkerDescription> describe(List<SimulatedWorker> workers) {
    return workers.stream().map(SimulatedWorker::listedEntry).flatMap(Optional::stream).toList();
  }

  Duration workDuration(TaskId task, StepDefinition step) {
    return workDurations.getOrDefault(task.step().job(), step.estimate());
  }

  int plannedFailures(TaskId task) {
    return plannedFailures.getOrDefault(task.step().job(), 0);
  }

  /**
   * Returns the started members of the gang that a run belongs to, in the same attempt. A member
   * that ends is removed.
   */
  private Set<RunId> startedMembersOf(RunId runId) {
    return startedGangMembers
        .computeIfAbsent(runId.task().step(), each -> new HashMap<>())
        .computeIfAbsent(runId.number(), each -> new HashSet<>());
  }

  void onGangMemberStarted(RunId runId, StepDefinition step, RunEnd end, Duration duration) {
    Set<RunId> members = startedMembersOf(runId);
    members.add(runId);
    if (members.size() == step.tasks()) {
      time.after(duration, () -> endGang(runId, end));
    }
  }

  boolean isGangComplete(RunId runId, StepDefinition step) {
    return startedMembersOf(runId).size() == step.tasks();
  }

  /**
   * Sets how many members of a gang end as failed at the same moment if the gang fails; the others
   * end as broken.
   */
  public void setFailingGangMembers(int members) {
    failingGangMembers = members;
  }

  /**
   * Ends a gang if all of its members still run. If the gang fails, some members end as failed and
   * the others as broken.
   */
  private void endGang(RunId runId, RunEnd end) {
    Set<RunId> members = startedMembersOf(runId);
    boolean allRunning = members.stream().allMatch(member -> workerRunning(member).isPresent());
    if (allRunning) {
      List<RunId> ending = List.copyOf(members);
      int endingAsGang = end == RunEnd.DONE ? ending.size() : failingGangMembers;
      // The first of them to end would break the others.
      ending.stream().limit(endingAsGang).forEach(members::remove);
      for (int index = 0; index < ending.size(); index++) {
        RunEnd runEnd = index < endingAsGang ? end : RunEnd.BROKEN;
        RunId member = ending.get(index);
        workerRunning(member).ifPresent(worker -> worker.endRun(member, runEnd));
      }
    }
  }

  void onGangMemberEnded(RunId runId, RunEnd runEnd) {
    // A member that starts later finds the gang incomplete and ends as ALONE.
    startedMembersOf(runId).remove(runId);
    if (runEnd != RunEnd.DONE && runEnd != RunEnd.ALONE) {
      for (RunId member : List.copyOf(startedMembersOf(runId))) {
        if (!member.equals(runId)) {
          workerRunning(member).ifPresent(worker -> worker.endRun(member, RunEnd.BROKEN));
        }
      }
    }
  }

  private Optional<SimulatedWorker> workerRunning(RunId runId) {
    return workersByIndex.stream().filter(worker -> worker.isRunning(runId)).findFirst();
  }
}
