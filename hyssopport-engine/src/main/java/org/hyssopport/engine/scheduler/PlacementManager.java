package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.advice.AdviceCall;
import org.hyssopport.engine.advice.AdviceDispatcher;
import org.hyssopport.engine.advice.AdviceWorkerSelector;
import org.hyssopport.engine.advice.GoodWorkerShareEstimate;
import org.hyssopport.engine.advice.StepAdvice;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.placement.Candidate;
import org.hyssopport.engine.placement.Placer;
import org.hyssopport.engine.placement.StepOrder;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.policy.Resources;

/** Places waiting tasks and asks for advice where it is missing. */
final class PlacementManager {

  /** A ticket must last through storing the assignment and the way of the order. */
  private static final Duration TICKET_MARGIN = Duration.ofMillis(100);

  /** Passes are this far apart; a hundredth of the shortest objective. */
  private static final Duration PASS_INTERVAL = Duration.ofMillis(4);

  /** How long a step that found no room to ask for waits; the scheduler's tick. */
  private static final Duration ADVICE_RETRY_INTERVAL = Duration.ofMillis(20);

  /** More than the failure domain and the few workers that fail at one time. */
  private static final double MAXIMUM_SUSPECT_SHARE = 0.5;

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final RunManager runManager;
  private final AdviceDispatcher adviceDispatcher;
  private final Map<StepId, StepAdvice> adviceByStep = new HashMap<>();
  private final Map<StepId, Map<WorkerId, Resources>> reservedByStep = new HashMap<>();

  private final Map<String, GoodWorkerShareEstimate> goodShareByQueue = new HashMap<>();
  private final Map<StepId, Instant> nextAdviceRequestAt = new HashMap<>();
  private List<TrackedWorker> availableWorkers = List.of();
  private boolean suspectsExcluded = true;
  private Instant lastPassAt = Instant.MIN;
  private long lastCallNumber;

  PlacementManager(
      SchedulerContext context,
      JobRegistry jobs,
      TrackedWorkerRegistry workers,
      RunManager runManager,
      AdviceDispatcher adviceDispatcher) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
    this.runManager = runManager;
    this.adviceDispatcher = adviceDispatcher;
  }

  /** Returns when the next pass is due, if one is wanted. */
  Optional<Instant> nextPassAt() {
    return context.placementRequested()
        ? Optional.of(lastPassAt.plus(PASS_INTERVAL))
        : Optional.empty();
  }

  /** Places what can be placed, the most urgent first, unless that was done just now. */
  void runIfDue() {
    boolean due = nextPassAt().filter(at -> !context.now().isBefore(at)).isPresent();
    if (due) {
      lastPassAt = context.now();
      context.clearPlacementRequest();
      runPass();
    }
  }

  private void runPass() {
    List<StepId> over = adviceByStep.keySet().stream().filter(this::isEnded).toList();
    over.forEach(this::forgetStep);
    List<Step> ready = jobs.readySteps(context.timeOfDay());
    if (ready.isEmpty()) {
      return;
    }
    updateSuspectExclusion();
    availableWorkers = workers.all().stream().filter(this::isAvailable).toList();
    ready.sort(StepOrder.at(context.now()));
    for (Step step : ready) {
      placeStep(step);
    }
  }

  /** If most workers seem to be silent, it is this scheduler that is slow. */
  private void updateSuspectExclusion() {
    long suspects =
        workers.all().stream().filter(worker -> worker.isSuspect(context.now())).count();
    suspectsExcluded = suspects <= workers.all().size() * MAXIMUM_SUSPECT_SHARE;
  }

  private boolean isAvailable(TrackedWorker worker) {
    return worker.acceptsWork()
        && !(suspectsExcluded && worker.isSuspect(context.now()))
        && worker.circuitBreaker().allowsWork(context.now(), worker.runs().size());
  }

  private void forgetStep(StepId step) {
    adviceByStep.remove(step);
    reservedByStep.remove(step);
    adviceDispatcher.cancel(step);
    nextAdviceRequestAt.remove(step);
  }

  private boolean isEnded(StepId id) {
    return jobs.findStep(id).map(step -> step.done() || step.job().isOver()).orElse(true);
  }

  private void placeStep(Step step) {
    Optional<AdvicePolicy> policy = step.job().definition().queue().advice();
    StepAdvice known = adviceByStep.computeIfAbsent(step.id(), each -> StepAdvice.empty());
    Instant usable = context.now().plus(TICKET_MARGIN);
    List<TrackedWorker> allowed =
        policy.isEmpty() ? availableWorkers : workersWithTicket(known, usable);
    List<Task> waiting = step.waiting();
    if (allowed.isEmpty() && adviceDispatcher.isPending(step.id())) {
      return;
    }
    List<WorkerId> chosen =
        allowed.isEmpty()
            ? List.of()
            : Placer.place(step.definition(), waiting.size(), candidates(step, allowed));
    int run = step.nextRun();
    for (int place = 0; place < chosen.size(); place++) {
      TrackedWorker worker = workers.find(chosen.get(place)).orElseThrow();
      Optional<String> text = validTicket(known, worker, usable).map(Ticket::text);
      Task task = waiting.get(place);
      int number = step.definition().gang() ? run : task.run() + 1;
      runManager.assignRun(step, task, number, worker, text);
    }
    if (!chosen.isEmpty()) {
      reservedByStep.remove(step.id());
      logPlacement(step, chosen);
    }
    if (policy.isPresent() && chosen.size() < waiting.size()) {
      requestAdvice(step, waiting.size() - chosen.size(), known, policy.get());
    }
  }

  private List<TrackedWorker> workersWithTicket(StepAdvice known, Instant usable) {
    List<TrackedWorker> ticketed = new ArrayList<>();
    for (WorkerId id : known.workersWithValidTicket(usable)) {
      workers
          .find(id)
          .filter(this::isAvailable)
          .filter(worker -> validTicket(known, worker, usable).isPresent())
          .ifPresent(ticketed::add);
    }
    return ticketed;
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
      StepAdvice known, TrackedWorker worker, Instant usable) {
    return known.validTicket(worker.id(), worker.description().incarnation(), usable);
  }

  private List<Candidate> candidates(Step step, List<TrackedWorker> allowed) {
    List<Candidate> candidates = new ArrayList<>();
    for (TrackedWorker worker : allowed) {
      if (meetsRequirements(worker, step)) {
        candidates.add(candidate(step, worker));
      }
    }
    return candidates;
  }

  private static boolean meetsRequirements(TrackedWorker worker, Step step) {
    QueuePolicy queue = step.job().definition().queue();
    return worker.description().service().equals(queue.service())
        && step.definition()
            .requiredLabel()
            .map(worker.description().labels()::contains)
            .orElse(true);
  }

  private Candidate candidate(Step step, TrackedWorker worker) {
    StepDefinition definition = step.definition();
    int most = Integer.MAX_VALUE;
    if (definition.mostPerWorker() > 0) {
      long there =
          worker.runs().stream().filter(held -> held.id().task().step().equals(step.id())).count();
      most = (int) Math.max(0, definition.mostPerWorker() - there);
    }
    Resources room = worker.freeResources();
    for (Map.Entry<StepId, Map<WorkerId, Resources>> entry : reservedByStep.entrySet()) {
      if (!entry.getKey().equals(step.id())) {
        room = room.minus(entry.getValue().getOrDefault(worker.id(), Resources.NONE));
      }
    }
    return new Candidate(worker.id(), worker.description().rack(), room, most);
  }

  private void requestAdvice(Step step, int tasks, StepAdvice known, AdvicePolicy policy) {
    Instant notBefore = nextAdviceRequestAt.getOrDefault(step.id(), Instant.MIN);
    if (adviceDispatcher.isPending(step.id()) || context.now().isBefore(notBefore)) {
      return;
    }
    List<WorkerId> ask = selectWorkersForAdvice(step, tasks, known, policy);
    if (ask.isEmpty()) {
      nextAdviceRequestAt.put(step.id(), context.now().plus(ADVICE_RETRY_INTERVAL));
      return;
    }
    QueuePolicy queue = step.job().definition().queue();
    lastCallNumber++;
    adviceDispatcher.enqueue(
        new AdviceCall(
            lastCallNumber,
            step.id(),
            ask,
            queue.priority(),
            step.job().objective().minus(step.definition().estimate()),
            policy.callTime(ask.size())));
    context.logDecision(
        "advice wanted", step.id(), Map.of("call", lastCallNumber, "workers", ask.size()));
  }

  private List<WorkerId> selectWorkersForAdvice(
      Step step, int tasks, StepAdvice known, AdvicePolicy policy) {
    Set<WorkerId> goodIds = known.goodWorkers();
    List<TrackedWorker> openGood = new ArrayList<>();
    List<TrackedWorker> openUnknown = new ArrayList<>();
    for (TrackedWorker worker : availableWorkers) {
      if (goodIds.contains(worker.id())) {
        openGood.add(worker);
      } else if (!known.wasAskedAbout(worker.id())) {
        openUnknown.add(worker);
      }
    }
    List<Candidate> good = candidates(step, openGood);
    List<WorkerId> named =
        AdviceWorkerSelector.select(
            step.definition(),
            tasks,
            good,
            candidates(step, openUnknown),
            goodShare(step).expectedShare(),
            policy);
    reserve(step, Placer.place(step.definition(), tasks, good));
    return named;
  }

  private GoodWorkerShareEstimate goodShare(Step step) {
    String queue = step.job().definition().queue().name();
    return goodShareByQueue.computeIfAbsent(queue, each -> GoodWorkerShareEstimate.initial());
  }

  /** Keeps the room for a gang until its tickets are renewed. */
  private void reserve(Step step, List<WorkerId> chosen) {
    if (step.definition().gang() && !chosen.isEmpty()) {
      Map<WorkerId, Resources> room = new HashMap<>();
      chosen.forEach(worker -> room.merge(worker, step.definition().demand(), Resources::plus));
      reservedByStep.put(step.id(), room);
    }
  }

  /** Takes in an answer; an empty one means that the call has to be made again. */
  void onAdviceAnswered(long call, Optional<Map<WorkerId, Ticket>> tickets) {
    if (tickets.isEmpty()) {
      adviceDispatcher.requeueUnanswered(call, context.now());
      return;
    }
    adviceDispatcher
        .recordAnswer(call)
        .ifPresent(
            made -> {
              if (!isEnded(made.step())) {
                recordAdvice(made, tickets.get());
              }
            });
  }

  private void recordAdvice(AdviceCall made, Map<WorkerId, Ticket> tickets) {
    StepAdvice known = adviceByStep.computeIfAbsent(made.step(), each -> StepAdvice.empty());
    List<WorkerId> first =
        made.workers().stream().filter(each -> !known.wasAskedAbout(each)).toList();
    int good = (int) first.stream().filter(tickets::containsKey).count();
    jobs.findStep(made.step()).ifPresent(step -> goodShare(step).recordAnswer(first.size(), good));
    known.recordAnswer(made.workers(), tickets);
  }

  /** Notes that a worker refused a ticket of the step. */
  void onTicketRefused(StepId step) {
    Optional.ofNullable(adviceByStep.get(step))
        .ifPresent(each -> each.expireTickets(context.now()));
  }

  /** Hands out the calls for advice that a free member can make. */
  void dispatchAdvice() {
    for (AdviceDispatcher.Dispatch dispatch : adviceDispatcher.dispatch(context.now())) {
      context.emit(new SchedulerEffect.RequestAdvice(dispatch.member(), dispatch.call()));
    }
  }
}
