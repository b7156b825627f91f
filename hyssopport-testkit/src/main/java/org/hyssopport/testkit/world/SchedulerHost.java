package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.hyssopport.engine.advice.AdviceCall;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequestId;
import org.hyssopport.engine.scheduler.CellScheduler;
import org.hyssopport.engine.scheduler.OrderResult;
import org.hyssopport.engine.scheduler.PollResult;
import org.hyssopport.engine.scheduler.SchedulerEffect;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;

/**
 * Runs one scheduler for one term in virtual time: delivers events to it and executes its effects
 * on the simulated journal and workers. {@link Simulation} starts and ends it.
 */
final class SchedulerHost {

  private static final long DECISION_DELAY_MILLIS = 1;
  private static final long TICK_INTERVAL_MILLIS = 20;
  private static final long STORE_DELAY_MILLIS = 6;
  private static final long STORE_RETRY_DELAY_MILLIS = 40;
  private static final long NETWORK_DELAY_MILLIS = 1;
  private static final long LIST_INTERVAL_MILLIS = 500;
  private static final long JOURNAL_READ_INTERVAL_MILLIS = 250;
  private static final long ANSWER_TIMEOUT_MILLIS = 700;

  private final VirtualTime time;
  private final Random random;
  private final SimulatedWorkers workers;
  private final SimulatedJournal journal;
  private final OrderFaults faults;
  private final long term;
  private final int memberCount;
  private final Simulation simulation;
  private final BiConsumer<CallerRequestId, CallerAnswer> answerListener;
  private final CellScheduler scheduler;
  private final List<String> decisions;
  private final Map<String, Instant> memberFreeAt = new HashMap<>();
  private int nextUnreadOffset;
  private boolean decisionScheduled;
  private boolean storeAvailable = true;
  private boolean ended;

  SchedulerHost(
      Simulation simulation, long term, BiConsumer<CallerRequestId, CallerAnswer> answerListener) {
    this.time = simulation.time();
    this.random = simulation.random();
    this.workers = simulation.workers();
    this.journal = simulation.journal();
    this.faults = simulation.orderFaults();
    this.memberCount = simulation.memberCount();
    this.simulation = simulation;
    this.term = term;
    this.answerListener = answerListener;
    this.decisions = simulation.decisions();
    this.scheduler =
        CellScheduler.create(
            SchedulerSettings.of(
                SimulatedWorkers.LONGEST_LEASE,
                SimulatedWorkers.GANG_WINDOW,
                Duration.ofMinutes(2)));
  }

  void begin() {
    journal.fence(term);
    nextUnreadOffset = journal.endOffset();
    handle(
        new SchedulerEvent.Recovered(
            journal.entries(), workers.describeLiveWorkers(), workers.describeLapsedWorkers()));
    handle(new SchedulerEvent.JournalRead(time.now()));
    Set<String> names = new HashSet<>();
    for (int number = 0; number < memberCount; number++) {
      names.add("member-" + number);
    }
    handle(new SchedulerEvent.MembersChanged(names));
    time.afterMillis(TICK_INTERVAL_MILLIS, this::tick);
    time.afterMillis(LIST_INTERVAL_MILLIS, this::listWorkers);
    time.afterMillis(JOURNAL_READ_INTERVAL_MILLIS, this::readJournal);
  }

  void end() {
    ended = true;
  }

  boolean hasEnded() {
    return ended;
  }

  int activeJobs() {
    return scheduler.activeJobs();
  }

  private void tick() {
    if (!ended) {
      handle(new SchedulerEvent.Ticked());
      time.afterMillis(TICK_INTERVAL_MILLIS, this::tick);
    }
  }

  private void listWorkers() {
    if (!ended) {
      if (!journal.isDown()) {
        Set<WorkerId> lapsed =
            workers.describeLapsedWorkers().stream()
                .map(WorkerDescription::id)
                .collect(Collectors.toSet());
        handle(new SchedulerEvent.LiveListReceived(workers.describeLiveWorkers(), lapsed));
      }
      time.afterMillis(LIST_INTERVAL_MILLIS, this::listWorkers);
    }
  }

  private void readJournal() {
    if (!ended) {
      Instant sentAt = time.now();
      time.afterMillis(STORE_DELAY_MILLIS, () -> deliverEntriesOfOthers(sentAt));
      time.afterMillis(JOURNAL_READ_INTERVAL_MILLIS, this::readJournal);
    }
  }

  private void deliverEntriesOfOthers(Instant sentAt) {
    if (!journal.isReadable()) {
      return;
    }
    if (journal.isFenced(term)) {
      decisions.add(time.now() + " term " + term + " ends: a newer one is recorded");
      ended = true;
      return;
    }
    List<JournalEntry> unread = journal.entriesOfOthers(term, nextUnreadOffset);
    nextUnreadOffset = journal.endOffset();
    if (!unread.isEmpty()) {
      handle(new SchedulerEvent.OtherMemberEntriesRead(unread));
    }
    handle(new SchedulerEvent.JournalRead(sentAt));
  }

  void handle(SchedulerEvent event) {
    if (ended) {
      return;
    }
    execute(timed(() -> scheduler.handle(event, time.now(), time.now())));
    if (!decisionScheduled) {
      decisionScheduled = true;
      time.afterMillis(DECISION_DELAY_MILLIS, this::decide);
    }
  }

  private void decide() {
    decisionScheduled = false;
    if (!ended) {
      execute(timed(() -> scheduler.decide(time.now(), time.now())));
      scheduler.nextDecisionAt().ifPresent(this::scheduleDecision);
    }
  }

  private void scheduleDecision(Instant due) {
    if (!decisionScheduled) {
      decisionScheduled = true;
      long millis = Duration.between(time.now(), due).toMillis();
      time.afterMillis(Math.max(DECISION_DELAY_MILLIS, millis), this::decide);
    }
  }

  /**
   * Makes a call to the scheduler and adds the real time that it took to the simulation's total.
   */
  private List<SchedulerEffect> timed(Supplier<List<SchedulerEffect>> decision) {
    long startNanos = System.nanoTime();
    List<SchedulerEffect> effects = decision.get();
    simulation.addDecisionNanos(System.nanoTime() - startNanos);
    return effects;
  }

  private void execute(List<SchedulerEffect> effects) {
    for (SchedulerEffect effect : effects) {
      if (effect instanceof SchedulerEffect.Store store) {
        storeAfterDelay(store.entries());
      } else if (effect instanceof SchedulerEffect.Answer answer) {
        answerListener.accept(answer.caller(), answer.answer());
      } else if (effect instanceof SchedulerEffect.Poll poll) {
        time.afterMillis(NETWORK_DELAY_MILLIS, () -> poll(poll));
      } else if (effect instanceof SchedulerEffect.Start start) {
        sendOrder(start.worker(), start.run(), true, () -> start(start));
      } else if (effect instanceof SchedulerEffect.Stop stop) {
        sendOrder(
            stop.worker(),
            stop.run(),
            false,
            () -> workers.find(stop.worker().id()).stop(stop.run(), term));
      } else if (effect instanceof SchedulerEffect.RequestAdvice adviceRequest) {
        startAdviceCall(adviceRequest.member(), adviceRequest.call());
      } else if (effect instanceof SchedulerEffect.StepDown stepDown) {
        decisions.add(time.now() + " term " + term + " steps down: " + stepDown.reason());
        ended = true;
      } else if (effect instanceof SchedulerEffect.LogDecision decided) {
        decisions.add(
            time.now()
                + " term "
                + term
                + " "
                + decided.decision()
                + " "
                + decided.subject()
                + " "
                + decided.inputs());
      }
    }
  }

  private void storeAfterDelay(List<JournalEntry> entries) {
    Instant sentAt = time.now();
    time.afterMillis(STORE_DELAY_MILLIS, () -> store(entries, false, sentAt));
  }

  /**
   * Appends entries to the journal. While the journal is down, an append is either refused or, like
   * one whose answer is lost, retried until it is answered. Ends this host if a newer term exists.
   *
   * @param alreadyAppended whether an earlier attempt was stored but its answer was lost
   * @param sentAt when this attempt was sent
   */
  private void store(List<JournalEntry> entries, boolean alreadyAppended, Instant sentAt) {
    if (ended) {
      return;
    }
    if (journal.isDown() && !alreadyAppended && random.nextBoolean()) {
      handle(new SchedulerEvent.JournalBatchRefused());
      return;
    }
    if (journal.isRefusingTerms() && !alreadyAppended) {
      handle(new SchedulerEvent.JournalBatchRefused());
      return;
    }
    if (journal.isDown()) {
      retryStore(entries, alreadyAppended);
      return;
    }
    boolean fenced = alreadyAppended ? journal.isFenced(term) : !journal.append(term, entries);
    if (fenced) {
      ended = true;
      return;
    }
    if (random.nextDouble() < journal.lostAnswerShare()) {
      retryStore(entries, true);
      return;
    }
    if (!storeAvailable) {
      storeAvailable = true;
      handle(new SchedulerEvent.StoreAvailabilityChanged(true));
    }
    handle(new SchedulerEvent.JournalBatchStored(sentAt));
  }

  private void retryStore(List<JournalEntry> entries, boolean alreadyAppended) {
    if (storeAvailable) {
      storeAvailable = false;
      handle(new SchedulerEvent.StoreAvailabilityChanged(false));
    }
    Instant sentAt = time.now().plusMillis(STORE_RETRY_DELAY_MILLIS);
    time.afterMillis(STORE_RETRY_DELAY_MILLIS, () -> store(entries, alreadyAppended, sentAt));
  }

  private OrderResult start(SchedulerEffect.Start start) {
    RunId runId = start.run();
    return workers
        .find(start.worker().id())
        .start(
            runId,
            workers.runChecker().stepOf(runId),
            start.leaseUntil(),
            term,
            start.ticket().map(Ticket::text));
  }

  /** An order to a worker, ready to be carried out. */
  private interface Order {
    OrderResult carryOut();
  }

  private void sendOrder(WorkerDescription worker, RunId run, boolean start, Order order) {
    time.afterMillis(NETWORK_DELAY_MILLIS, () -> deliverOrder(worker, run, start, order));
  }

  /** Delivers an order, to which the order faults apply if the worker can answer. */
  private void deliverOrder(WorkerDescription worker, RunId run, boolean start, Order order) {
    SimulatedWorker target = workers.find(worker.id());
    if (!target.canAnswer()) {
      simulation.recordUndeliverableOrder(worker.id(), run);
      answerOrder(worker, run, start, OrderResult.NOT_SENT, Optional.empty());
      return;
    }
    OrderFaults.Delivery delivery = faults.drawDelivery(random);
    if (delivery == OrderFaults.Delivery.LATE) {
      long delay = faults.drawDelayMillis(random);
      long incarnation = target.describe().incarnation();
      time.afterMillis(delay, () -> carryOutLate(target, incarnation, order));
      answerOrder(worker, run, start, OrderResult.UNANSWERED, Optional.empty());
      return;
    }
    OrderResult result = order.carryOut();
    if (delivery == OrderFaults.Delivery.LOST_ANSWER) {
      answerOrder(worker, run, start, OrderResult.UNANSWERED, Optional.empty());
    } else {
      answerOrder(worker, run, start, result, Optional.of(target.clockMillis()));
    }
  }

  private void carryOutLate(SimulatedWorker target, long incarnation, Order order) {
    boolean sameIncarnation = target.describe().incarnation() == incarnation;
    if (target.isUp() && (sameIncarnation || faults.lateOrdersOutliveRestart())) {
      workers.runChecker().setCarryingOutLateOrder(true);
      order.carryOut();
      workers.runChecker().setCarryingOutLateOrder(false);
    }
  }

  private void answerOrder(
      WorkerDescription worker,
      RunId run,
      boolean start,
      OrderResult result,
      Optional<Long> clockMillis) {
    time.afterMillis(
        result.isAnswer() ? NETWORK_DELAY_MILLIS : ANSWER_TIMEOUT_MILLIS,
        () ->
            handle(
                new SchedulerEvent.OrderFinished(
                    worker.id(), worker.incarnation(), run, start, result, clockMillis)));
  }

  private void poll(SchedulerEffect.Poll poll) {
    SimulatedWorker target = workers.find(poll.worker().id());
    Instant sentAt = time.now();
    boolean[] answered = {false};
    time.afterMillis(
        poll.waitMillis() + ANSWER_TIMEOUT_MILLIS,
        () -> {
          if (!answered[0]) {
            answerPoll(poll, sentAt, new PollResult.Unanswered());
          }
        });
    if (target.canAnswer()) {
      target.poll(
          poll.leaseUntil(),
          poll.acknowledgeUpTo(),
          poll.waitMillis(),
          term,
          result -> {
            if (target.canAnswer()) {
              answered[0] = true;
              time.afterMillis(NETWORK_DELAY_MILLIS, () -> answerPoll(poll, sentAt, result));
            }
          });
    }
  }

  private void answerPoll(SchedulerEffect.Poll poll, Instant sentAt, PollResult result) {
    handle(
        new SchedulerEvent.WorkerPolled(
            poll.worker().id(),
            poll.worker().incarnation(),
            sentAt,
            poll.acknowledgeUpTo(),
            result));
  }

  /** Starts an advice call. The advice service handles one call at a time for each member. */
  private void startAdviceCall(String member, AdviceCall call) {
    Instant memberFree = memberFreeAt.getOrDefault(member, time.now());
    Instant begin = memberFree.isAfter(time.now()) ? memberFree : time.now();
    Instant end = begin.plus(call.expectedDuration());
    memberFreeAt.put(member, end);
    time.after(Duration.between(time.now(), end), () -> answerAdviceCall(call));
  }

  private void answerAdviceCall(AdviceCall call) {
    if (!simulation.adviceAnswered()) {
      return;
    }
    Map<WorkerId, Ticket> tickets = new HashMap<>();
    double goodWorkerShare = simulation.goodWorkerShare(call.priority());
    Duration valid = simulation.advicePolicy(call.step().job()).valid();
    for (WorkerId worker : call.workers()) {
      boolean good =
          shareFromSeed(call.step().hashCode() * 31L + worker.hashCode()) < goodWorkerShare;
      if (good) {
        SimulatedWorker target = workers.find(worker);
        String text = workers.tickets().issue(call.step(), target, valid);
        long incarnation = target.describe().incarnation();
        tickets.put(worker, new Ticket(text, incarnation, time.now().plus(valid)));
      }
    }
    handle(new SchedulerEvent.AdviceCallFinished(call.number(), Optional.of(tickets)));
  }

  /** Returns a number from 0 to 1 derived from a seed; adjacent seeds give unrelated numbers. */
  private static double shareFromSeed(long seed) {
    long mixed = seed * 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
    return ((mixed ^ (mixed >>> 32)) >>> 11) * 0x1.0p-53;
  }
}
