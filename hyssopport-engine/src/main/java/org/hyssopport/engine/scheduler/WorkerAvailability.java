package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.advice.StepAdvice;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.policy.Resources;

/**
 * Selects the workers that may get work in one placement pass.
 *
 * <p>Suspicion chooses between workers and never leaves a step without any. If most workers seem
 * silent, none is excluded for that. If silent and failing workers are most of those that could run
 * a step, the circuit breakers don't limit what the step's tasks are placed on.
 */
final class WorkerAvailability {

  /** Exceeds the share of workers that fail at one time: one failure domain and a few others. */
  private static final double MAXIMUM_EXCLUDED_SHARE = 0.5;

  private final SchedulerContext context;
  private final TrackedWorkerRegistry workers;
  private final Map<Requirement, List<TrackedWorker>> acceptingByRequirement = new HashMap<>();
  private final Map<Requirement, EligibleWorkers> eligibleByRequirement = new HashMap<>();
  private boolean suspectsExcluded = true;

  WorkerAvailability(SchedulerContext context, TrackedWorkerRegistry workers) {
    this.context = context;
    this.workers = workers;
  }

  /** What the tasks of a step require of a worker besides room. */
  private record Requirement(String service, Optional<String> label) {

    static Requirement of(Step step) {
      return new Requirement(step.job().queue().service(), step.definition().requiredLabel());
    }

    boolean isMetBy(TrackedWorker worker) {
      return worker.description().service().equals(service)
          && label.map(worker.description().labels()::contains).orElse(true);
    }
  }

  /** How far the circuit breakers of workers limit what a step's tasks are placed on. */
  enum CircuitLimit {
    /** Failing workers get nothing during their pauses and one run at a time after them. */
    FULL {
      @Override
      int permittedTasks(TrackedWorker worker, Instant now) {
        return worker.circuitBreaker().permittedTasks(now, false);
      }
    },
    /**
     * The same with the shortest pauses, for tasks that no other worker has taken for some time.
     */
    SHORT_PAUSES {
      @Override
      int permittedTasks(TrackedWorker worker, Instant now) {
        return worker.circuitBreaker().permittedTasks(now, true);
      }
    },
    /** Failing workers get as much as others. */
    NONE {
      @Override
      int permittedTasks(TrackedWorker worker, Instant now) {
        return Integer.MAX_VALUE;
      }
    };

    abstract int permittedTasks(TrackedWorker worker, Instant now);
  }

  /**
   * The workers that could run the tasks of a step and are not suspected of being silent.
   *
   * @param workers the workers
   * @param limit how far their circuit breakers limit how many tasks each of them gets; {@code
   *     NONE} also if no circuit is open
   */
  record EligibleWorkers(List<TrackedWorker> workers, CircuitLimit limit) {

    boolean isEmpty() {
      return workers.isEmpty();
    }

    EligibleWorkers withOnly(List<TrackedWorker> some) {
      return new EligibleWorkers(some, limit);
    }

    EligibleWorkers with(CircuitLimit other) {
      return new EligibleWorkers(workers, other);
    }

    /** Returns the workers for a step that none of them has taken for some time. */
    EligibleWorkers forStarvedStep() {
      return limit == CircuitLimit.NONE ? this : with(CircuitLimit.SHORT_PAUSES);
    }
  }

  /** Begins a placement pass, with the present state of the workers. */
  void beginPass() {
    acceptingByRequirement.clear();
    eligibleByRequirement.clear();
    // If most workers seem silent, this scheduler is the slow one.
    long suspects =
        workers.all().stream().filter(worker -> worker.isSuspect(context.now())).count();
    suspectsExcluded = !isTooMany(suspects, workers.all().size());
  }

  /** Returns the resources of all workers that accept work, used or not. */
  Resources room() {
    Resources room = Resources.NONE;
    for (TrackedWorker worker : workers.all()) {
      if (isAccepting(worker)) {
        room = room.plus(worker.description().capacity());
      }
    }
    return room;
  }

  private static boolean isTooMany(long excluded, int all) {
    return excluded > all * MAXIMUM_EXCLUDED_SHARE;
  }

  /** Returns the workers that the tasks of a step may be placed on if it needs no advice. */
  EligibleWorkers forStep(Step step) {
    return eligibleByRequirement.computeIfAbsent(
        Requirement.of(step), requirement -> select(accepting(requirement)));
  }

  /** Returns the workers that the advice service allows for a step, or may allow. */
  EligibleWorkers forAdvisedStep(Step step, StepAdvice advice) {
    List<TrackedWorker> possible =
        accepting(Requirement.of(step)).stream()
            .filter(worker -> !isForbidden(worker, advice))
            .toList();
    return select(possible);
  }

  private static boolean isForbidden(TrackedWorker worker, StepAdvice advice) {
    long incarnation = worker.description().incarnation();
    return advice.wasAskedAbout(worker.id(), incarnation)
        && !advice.isGood(worker.id(), incarnation);
  }

  /** Returns whether a worker could run the tasks of a step and is not suspected to be silent. */
  boolean isEligible(TrackedWorker worker, Step step) {
    return Requirement.of(step).isMetBy(worker) && isAnswering(worker);
  }

  private boolean isAnswering(TrackedWorker worker) {
    return isAccepting(worker) && !(suspectsExcluded && worker.isSuspect(context.now()));
  }

  private boolean isAccepting(TrackedWorker worker) {
    return worker.acceptsWork() && !worker.isUnreachable(context.now());
  }

  private List<TrackedWorker> accepting(Requirement requirement) {
    return acceptingByRequirement.computeIfAbsent(
        requirement,
        each ->
            workers.all().stream().filter(this::isAccepting).filter(requirement::isMetBy).toList());
  }

  private EligibleWorkers select(List<TrackedWorker> accepting) {
    List<TrackedWorker> answering = accepting.stream().filter(this::isAnswering).toList();
    long failing = answering.stream().filter(worker -> worker.circuitBreaker().isOpen()).count();
    long excluded = accepting.size() - answering.size() + failing;
    boolean limited = failing > 0 && !isTooMany(excluded, accepting.size());
    return new EligibleWorkers(answering, limited ? CircuitLimit.FULL : CircuitLimit.NONE);
  }
}
