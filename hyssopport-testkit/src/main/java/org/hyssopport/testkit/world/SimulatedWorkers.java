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
 * All workers of a world, and what their tasks really do.
 *
 * @since 0.2
 */
public final class SimulatedWorkers {

  /** The service that all workers belong to. */
  public static final String SERVICE = "booking";

  static final Duration LONGEST_LEASE = Duration.ofSeconds(10);
  static final Duration STOP_TIME = Duration.ofMillis(300);
  static final Duration GANG_WINDOW = Duration.ofSeconds(3);
  static final Duration FAILS_WITHIN = Duration.ofMillis(200);

  private static final int RACK_SIZE = 8;

  private final VirtualTime time;
  private final RunChecker history = new RunChecker();
  private final Map<WorkerId, SimulatedWorker> workers = new HashMap<>();
  private final List<SimulatedWorker> inOrder = new ArrayList<>();
  private final Map<StepId, Map<Integer, Set<RunId>>> gangs = new HashMap<>();
  private final Map<JobId, Duration> work = new HashMap<>();
  private final Map<JobId, Integer> failures = new HashMap<>();

  private SimulatedWorkers(VirtualTime time) {
    this.time = time;
  }

  /** Returns so many workers of one size in three failure domains. */
  public static SimulatedWorkers of(VirtualTime time, int count, Resources capacity) {
    SimulatedWorkers all = new SimulatedWorkers(time);
    for (int number = 0; number < count; number++) {
      FailureDomain domain = new FailureDomain("domain-" + number % 3);
      String rack = "r" + number % 3 + "-" + number / (3 * RACK_SIZE);
      SimulatedWorker worker =
          new SimulatedWorker(time, all, new WorkerId("worker-" + number), domain, rack, capacity);
      all.workers.put(worker.id(), worker);
      all.inOrder.add(worker);
    }
    return all;
  }

  /** Returns the judge of what they run. */
  public RunChecker history() {
    return history;
  }

  /** Returns the worker at a place. */
  public SimulatedWorker at(int place) {
    return inOrder.get(place % inOrder.size());
  }

  /** Returns how many there are. */
  public int count() {
    return inOrder.size();
  }

  /** Sets what the tasks of a job really take; else they take what was declared. */
  public void setWork(JobId job, Duration length) {
    work.put(job, length);
  }

  /** Sets how many runs of each task of a job fail first. */
  public void setFailures(JobId job, int runs) {
    failures.put(job, runs);
  }

  /** Returns the worker of an id. */
  public SimulatedWorker find(WorkerId id) {
    return workers.get(id);
  }

  List<WorkerDescription> listed() {
    return inOrder.stream().filter(SimulatedWorker::isUp).map(SimulatedWorker::describe).toList();
  }

  Duration workOf(TaskId task, StepDefinition step) {
    return work.getOrDefault(task.step().job(), step.estimate());
  }

  int plannedFailures(TaskId task) {
    return failures.getOrDefault(task.step().job(), 0);
  }

  private Set<RunId> gang(RunId ref) {
    return gangs
        .computeIfAbsent(ref.task().step(), each -> new HashMap<>())
        .computeIfAbsent(ref.run(), each -> new HashSet<>());
  }

  void gangMemberStarted(RunId ref, StepDefinition step, RunEnd end, Duration length) {
    Set<RunId> members = gang(ref);
    members.add(ref);
    if (members.size() == step.tasks()) {
      time.after(length, () -> endGang(ref, end));
    }
  }

  boolean isGangTogether(RunId ref, StepDefinition step) {
    return gang(ref).size() == step.tasks();
  }

  private void endGang(RunId ref, RunEnd end) {
    Set<RunId> members = gang(ref);
    boolean whole = members.stream().allMatch(member -> holder(member).isPresent());
    if (whole) {
      List<RunId> ending = List.copyOf(members);
      for (int place = 0; place < ending.size(); place++) {
        RunEnd how = end == RunEnd.DONE || place == 0 ? end : RunEnd.BROKEN;
        RunId member = ending.get(place);
        holder(member).ifPresent(worker -> worker.endRun(member, how));
      }
    }
  }

  void gangMemberEnded(RunId ref, RunEnd how) {
    // A member that comes later finds the gang incomplete, and ends as alone.
    gang(ref).remove(ref);
    if (how != RunEnd.DONE && how != RunEnd.ALONE) {
      for (RunId member : List.copyOf(gang(ref))) {
        if (!member.equals(ref)) {
          holder(member).ifPresent(worker -> worker.endRun(member, RunEnd.BROKEN));
        }
      }
    }
  }

  private Optional<SimulatedWorker> holder(RunId ref) {
    return inOrder.stream().filter(worker -> worker.isRunning(ref)).findFirst();
  }
}
