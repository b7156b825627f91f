package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.hyssopport.engine.advice.AdviceCall;
import org.hyssopport.engine.advice.AdviceDispatcher;
import org.hyssopport.engine.advice.AdviceWorkerSelector;
import org.hyssopport.engine.advice.GoodWorkerShareEstimate;
import org.hyssopport.engine.advice.StepAdvice;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.placement.Candidate;
import org.hyssopport.engine.placement.Placer;
import org.hyssopport.engine.placement.StepOrder;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.quota.FairShareOrder;
import org.hyssopport.engine.quota.OrganisationSharing;
import org.hyssopport.engine.scheduler.WorkerAvailability.CircuitLimit;
import org.hyssopport.engine.scheduler.WorkerAvailability.EligibleWorkers;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.policy.Resources;

/**
 * Places the waiting tasks of ready steps on workers, in passes that events request, and requests
 * advice for steps that lack it.
 */
final class PlacementManager {

  /** A ticket must stay valid while the assignment is stored and the start order is delivered. */
  private static final Duration TICKET_MARGIN = Duration.ofMillis(100);

  /** About a hundredth of the shortest objective of a job, which is some 400 ms. */
  private static final Duration PASS_INTERVAL = Duration.ofMillis(4);

  /**
   * Equals the scheduler's tick; a step waits this long if there is no worker to ask advice about.
   */
  private static final Duration ADVICE_RETRY_INTERVAL = Duration.ofMillis(20);

  /**
   * A step of which no task could be placed for this time may be tried on failing workers sooner.
   */
  private static final Duration STARVATION_TIME = Duration.ofSeconds(1);

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final RunManager runManager;
  private final AdviceDispatcher adviceDispatcher;
  private final WorkerAvailability availability;
  private final HeldSteps heldSteps;
  private final FairShareOrder shareOrder;
  private final Map<StepId, StepAdvice> adviceByStep = new HashMap<>();
  private final GangReservations reservations = new GangReservations();
  private final Map<String, GoodWorkerShareEstimate> goodShareByQueue = new HashMap<>();
  private final Map<StepId, Instant> nextAdviceRequestAt = new HashMap<>();

  /** Since when no worker could take a task of a step that waits. */
  private final Map<StepId, Instant> unplacedSince = new HashMap<>();

  private final StartLimit startLimit = new StartLimit();
  private Instant lastPassAt = Instant.MIN;
  private long lastCallNumber;

  PlacementManager(
      SchedulerContext context,
      JobRegistry jobs,
      TrackedWorkerRegistry workers,
      RunManager runManager,
      AdviceDispatcher adviceDispatcher,
      OrganisationSharing sharing) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
    this.runManager = runManager;
    this.adviceDispatcher = adviceDispatcher;
    availability = new WorkerAvailability(context, workers);
    heldSteps = new HeldSteps(context, sharing.limits());
    shareOrder = sharing.shareOrder();
  }

  /** Returns when the next placement pass is due, if one was requested. */
  Optional<Instant> nextPassAt() {
    return context.placementRequested()
        ? Optional.of(lastPassAt.plus(PASS_INTERVAL))
        : Optional.empty();
  }

  /** Places tasks, the most urgent steps first, if a pass was requested and is due. */
  void runIfDue() {
    boolean due = nextPassAt().filter(at -> !context.now().isBefore(at)).isPresent();
    if (due) {
      lastPassAt = context.now();
      context.clearPlacementRequest();
      runPass();
    }
  }

  private void runPass() {
    List<StepId> ended = adviceByStep.keySet().stream().filter(this::isEnded).toList();
    ended.forEach(this::forgetStep);
    List<Step> ready = jobs.readySteps(context.wallClockTime());
    releaseObsoleteReservations(ready);
    if (ready.isEmpty()) {
      return;
    }
    availability.beginPass();
    ready.sort(StepOrder.at(context.now()));
    startLimit.beginPass(workers.all());
    for (Step step : shareOrder.arrange(ready, availability::room, context.now())) {
      if (startLimit.isReached()) {
        return;
      }
      placeStep(step);
    }
  }

  /** Limits how many starts may be on their way, or removes the limit. */
  void limitStarts(Optional<Integer> most) {
    startLimit.set(most);
    context.logDecision(
        most.isPresent() ? "starts limited" : "starts no longer limited",
        "",
        most.<Map<String, Object>>map(limit -> Map.of("most", limit)).orElse(Map.of()));
  }

  private void releaseObsoleteReservations(List<Step> ready) {
    if (reservations.isEmpty()) {
      return;
    }
    Set<StepId> waiting = ready.stream().map(Step::id).collect(Collectors.toSet());
    Predicate<WorkerId> isUsable =
        id -> workers.find(id).filter(TrackedWorker::acceptsWork).isPresent();
    reservations
        .releaseObsolete(waiting, isUsable, context.now())
        .forEach(
            (step, reason) ->
                context.logDecision("reservation ended", step, Map.of("reason", reason)));
  }

  private void forgetStep(StepId step) {
    adviceByStep.remove(step);
    reservations.release(step);
    adviceDispatcher.cancel(step);
    nextAdviceRequestAt.remove(step);
    unplacedSince.remove(step);
    heldSteps.forget(step);
  }

  /**
   * Drops what is known and awaited about the workers of the service that ran a queue before, so
   * that its steps are placed on those of the new one without delay.
   */
  void onQueueMoved(String queue, Collection<Job> movedJobs) {
    goodShareByQueue.remove(queue);
    movedJobs.stream().flatMap(job -> job.steps().stream()).map(Step::id).forEach(this::forgetStep);
  }

  private boolean isEnded(StepId id) {
    return jobs.findStep(id).map(step -> step.done() || step.job().isEnded()).orElse(true);
  }

  private void placeStep(Step step) {
    Optional<AdvicePolicy> policy = step.job().queue().advice();
    StepAdvice stepAdvice = adviceByStep.computeIfAbsent(step.id(), each -> StepAdvice.empty());
    List<Task> waiting = heldSteps.permitted(step);
    if (waiting.isEmpty()) {
      unplacedSince.remove(step.id());
      reservations.release(step.id());
      return;
    }
    Instant ticketsValidAt = context.now().plus(TICKET_MARGIN);
    EligibleWorkers allowed =
        policy.isEmpty()
            ? availability.forStep(step)
            : workersWithTicket(step, stepAdvice, ticketsValidAt);
    if (allowed.isEmpty() && adviceDispatcher.isPending(step.id())) {
      return;
    }
    List<WorkerId> chosen =
        allowed.isEmpty() ? List.of() : chooseWorkers(step, waiting.size(), allowed);
    int gangRunNumber = step.nextRunNumber();
    for (int index = 0; index < chosen.size(); index++) {
      TrackedWorker worker = workers.find(chosen.get(index)).orElseThrow();
      Optional<Ticket> ticket = validTicket(stepAdvice, worker, ticketsValidAt);
      Task task = waiting.get(index);
      int runNumber = step.definition().gang() ? gangRunNumber : task.lastRunNumber() + 1;
      runManager.assignRun(step, task, runNumber, worker, ticket);
    }
    if (chosen.isEmpty()) {
      unplacedSince.putIfAbsent(step.id(), context.now());
    } else {
      unplacedSince.remove(step.id());
      reservations.release(step.id());
      logPlacement(step, chosen);
      startLimit.recordPlaced(chosen.size());
    }
    if (policy.isPresent() && chosen.size() < waiting.size()) {
      requestAdvice(step, waiting.size() - chosen.size(), stepAdvice, policy.get());
    }
  }

  /**
   * Chooses workers for the waiting tasks of a step. Failing workers are tried sooner with a step
   * that no other worker takes, and without a limit if no waiting would help.
   */
  private List<WorkerId> chooseWorkers(Step step, int tasks, EligibleWorkers allowed) {
    List<WorkerId> chosen = place(step, tasks, allowed);
    if (!chosen.isEmpty() || allowed.limit() == CircuitLimit.NONE || !isStarved(step)) {
      return chosen;
    }
    EligibleWorkers sooner = allowed.forStarvedStep();
    chosen = place(step, tasks, sooner);
    boolean waitingHelps = !chosen.isEmpty() || fitsOnIdleWorkers(step, tasks, sooner);
    return waitingHelps ? chosen : place(step, tasks, allowed.with(CircuitLimit.NONE));
  }

  private List<WorkerId> place(Step step, int tasks, EligibleWorkers eligible) {
    return Placer.place(step.definition(), tasks, candidates(step, eligible));
  }

  /** Returns whether no worker has taken a task of the step for some time. */
  private boolean isStarved(Step step) {
    return Optional.ofNullable(unplacedSince.get(step.id()))
        .filter(since -> !context.now().isBefore(since.plus(STARVATION_TIME)))
        .isPresent();
  }

  /**
   * Returns whether the step could be placed on workers that run nothing else, as far as their
   * circuit breakers and the limit of its tasks on a worker permit.
   */
  private boolean fitsOnIdleWorkers(Step step, int tasks, EligibleWorkers eligible) {
    List<Candidate> idle = new ArrayList<>();
    for (TrackedWorker worker : eligible.workers()) {
      int mostTasks = mostTasks(step, worker, eligible.limit());
      if (mostTasks > 0) {
        Resources capacity = worker.description().capacity();
        idle.add(
            new Candidate(worker.id(), worker.description().rack(), capacity, mostTasks, false));
      }
    }
    return !Placer.place(step.definition(), tasks, idle).isEmpty();
  }

  private EligibleWorkers workersWithTicket(
      Step step, StepAdvice stepAdvice, Instant ticketsValidAt) {
    List<TrackedWorker> withTicket = new ArrayList<>();
    for (WorkerId id : stepAdvice.workersWithValidTicket(ticketsValidAt)) {
      workers
          .find(id)
          .filter(worker -> availability.isEligible(worker, step))
          .filter(worker -> validTicket(stepAdvice, worker, ticketsValidAt).isPresent())
          .ifPresent(withTicket::add);
    }
    boolean anyFailing = withTicket.stream().anyMatch(worker -> worker.circuitBreaker().isOpen());
    return anyFailing
        ? availability.forAdvisedStep(step, stepAdvice).withOnly(withTicket)
        : new EligibleWorkers(withTicket, CircuitLimit.NONE);
  }

  private void logPlacement(Step step, List<WorkerId> chosen) {
    context.logDecision(
        "placed",
        step.id(),
        Map.of(
            "tasks", chosen.size(),
            "of", step.tasks().size(),
            "slackMillis", Duration.between(context.now(), step.job().objective()).toMillis()));
  }

  private static Optional<Ticket> validTicket(
      StepAdvice stepAdvice, TrackedWorker worker, Instant ticketsValidAt) {
    return stepAdvice.validTicket(worker.id(), worker.description().incarnation(), ticketsValidAt);
  }

  private List<Candidate> candidates(Step step, EligibleWorkers eligible) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedWorker worker : eligible.workers()) {
      int mostTasks = mostTasks(step, worker, eligible.limit());
      if (mostTasks > 0) {
        boolean trial = eligible.limit() != CircuitLimit.NONE && worker.circuitBreaker().isOpen();
        candidates.add(candidate(step, worker, mostTasks, trial));
      }
    }
    return candidates;
  }

  private int mostTasks(Step step, TrackedWorker worker, CircuitLimit limit) {
    int permitted = limit.permittedTasks(worker, context.now());
    StepDefinition definition = step.definition();
    if (definition.mostPerWorker() == 0) {
      return permitted;
    }
    long runsOnWorker =
        worker.runs().stream()
            .filter(trackedRun -> trackedRun.id().task().step().equals(step.id()))
            .count();
    return (int) Math.min(permitted, definition.mostPerWorker() - runsOnWorker);
  }

  private Candidate candidate(Step step, TrackedWorker worker, int mostTasks, boolean trial) {
    Resources freeResources =
        worker.freeResources().minus(reservations.reservedForOthers(step.id(), worker.id()));
    return new Candidate(worker.id(), worker.description().rack(), freeResources, mostTasks, trial);
  }

  private void requestAdvice(Step step, int tasks, StepAdvice stepAdvice, AdvicePolicy policy) {
    Instant notBefore = nextAdviceRequestAt.getOrDefault(step.id(), Instant.MIN);
    // Calls for advice bind as much as room does, and what is beyond a share takes what is left.
    boolean waitsForOthers =
        shareOrder.isBeyondShare(step.id()) && adviceDispatcher.hasWaitingCalls();
    if (waitsForOthers
        || adviceDispatcher.isPending(step.id())
        || context.now().isBefore(notBefore)) {
      return;
    }
    List<WorkerId> selected = selectWorkersForAdvice(step, tasks, stepAdvice, policy);
    if (selected.isEmpty()) {
      nextAdviceRequestAt.put(step.id(), context.now().plus(ADVICE_RETRY_INTERVAL));
      return;
    }
    lastCallNumber++;
    adviceDispatcher.enqueue(
        new AdviceCall(
            lastCallNumber,
            step.id(),
            incarnationsOf(selected),
            step.job().queue().priority(),
            step.job().objective().minus(step.definition().estimate()),
            policy.callTime(selected.size())));
    context.logDecision(
        "advice wanted", step.id(), Map.of("call", lastCallNumber, "workers", selected.size()));
  }

  private Map<WorkerId, Long> incarnationsOf(List<WorkerId> ids) {
    Map<WorkerId, Long> incarnations = new LinkedHashMap<>();
    for (WorkerId id : ids) {
      incarnations.put(id, workers.find(id).orElseThrow().description().incarnation());
    }
    return incarnations;
  }

  private List<WorkerId> selectWorkersForAdvice(
      Step step, int tasks, StepAdvice stepAdvice, AdvicePolicy policy) {
    EligibleWorkers possible = availability.forAdvisedStep(step, stepAdvice);
    EligibleWorkers eligible = isStarved(step) ? possible.forStarvedStep() : possible;
    Map<Boolean, List<TrackedWorker>> byGoodness =
        eligible.workers().stream()
            .collect(
                Collectors.partitioningBy(
                    worker -> stepAdvice.isGood(worker.id(), worker.description().incarnation())));
    List<Candidate> good = candidates(step, eligible.withOnly(byGoodness.get(true)));
    List<WorkerId> selected =
        AdviceWorkerSelector.select(
            step.definition(),
            tasks,
            good,
            candidates(step, eligible.withOnly(byGoodness.get(false))),
            goodShare(step).expectedShare(),
            policy);
    if (step.definition().gang()) {
      reserve(step, Placer.place(step.definition(), tasks, good), policy);
    }
    return selected;
  }

  private GoodWorkerShareEstimate goodShare(Step step) {
    String queue = step.job().queue().name();
    return goodShareByQueue.computeIfAbsent(queue, each -> GoodWorkerShareEstimate.initial());
  }

  /** Reserves resources for a gang until the answer to the call for its tickets is overdue. */
  private void reserve(Step step, List<WorkerId> chosen, AdvicePolicy policy) {
    Duration callTime = policy.callTime((int) chosen.stream().distinct().count());
    Instant overdueAt = context.now().plus(callTime).plus(AdviceDispatcher.ANSWER_ALLOWANCE);
    reservations.replace(step.id(), step.definition().demand(), chosen, overdueAt);
  }

  /**
   * Handles the result of a call for advice; without tickets, the call failed and is queued again.
   */
  void onAdviceResult(long call, Optional<Map<WorkerId, Ticket>> tickets) {
    if (tickets.isEmpty()) {
      adviceDispatcher.requeueUnanswered(call, context.now());
      return;
    }
    adviceDispatcher
        .recordAnswer(call)
        .ifPresent(
            answeredCall -> {
              if (!isEnded(answeredCall.step())) {
                recordAdvice(answeredCall, tickets.get());
              }
            });
  }

  private void recordAdvice(AdviceCall answeredCall, Map<WorkerId, Ticket> tickets) {
    StepAdvice stepAdvice =
        adviceByStep.computeIfAbsent(answeredCall.step(), each -> StepAdvice.empty());
    List<WorkerId> newlyAsked =
        answeredCall.workers().stream()
            .filter(
                worker ->
                    !stepAdvice.wasAskedAbout(worker, answeredCall.incarnations().get(worker)))
            .toList();
    int good = (int) newlyAsked.stream().filter(tickets::containsKey).count();
    jobs.findStep(answeredCall.step())
        .ifPresent(step -> goodShare(step).recordAnswer(newlyAsked.size(), good));
    stepAdvice.recordAnswer(answeredCall.incarnations(), tickets);
  }

  /** Expires the tickets of a step after a worker refused one of them. */
  void onTicketRefused(StepId step) {
    Optional.ofNullable(adviceByStep.get(step))
        .ifPresent(stepAdvice -> stepAdvice.expireTickets(context.now()));
  }

  /** Assigns queued calls for advice to members that are free to make them. */
  void dispatchAdvice() {
    for (AdviceDispatcher.Dispatch dispatch : adviceDispatcher.dispatch(context.now())) {
      context.emit(new SchedulerEffect.RequestAdvice(dispatch.member(), dispatch.call()));
    }
  }
}
