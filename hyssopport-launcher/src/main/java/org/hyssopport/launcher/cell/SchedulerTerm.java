package org.hyssopport.launcher.cell;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.quota.OrganisationUsage;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.engine.scheduler.CallerRequestId;
import org.hyssopport.engine.scheduler.CellScheduler;
import org.hyssopport.engine.scheduler.PollResult;
import org.hyssopport.engine.scheduler.SchedulerEffect;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.launcher.BoundedQueue;
import org.hyssopport.launcher.cell.CongestionDetector.Backlog;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StorePage;
import org.hyssopport.protocol.MemberMessage;

/**
 * One term of this member as the scheduler.
 *
 * <p>Runs the threads that feed events to a {@link CellScheduler} and carry out its effects, since
 * the scheduler itself does no input or output. Only the thread "scheduler" calls it; all others
 * add events to the queue. Created by {@link SchedulerElection}.
 */
final class SchedulerTerm {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final int EVENT_QUEUE_CAPACITY = 1 << 15;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final int MAXIMUM_EVENTS_PER_DECISION = 256;

  /** Other members append entries only while they can't reach a scheduler, which is rare. */
  private static final long JOURNAL_READ_INTERVAL_MILLIS = 250;

  /** Metrics are scraped every few seconds. */
  private static final Duration USAGE_INTERVAL = Duration.ofSeconds(1);

  /** A quarter of the time within which a drain must be noticed. */
  private static final long LIVE_LIST_INTERVAL_MILLIS = 500;

  /**
   * Subtracted from the validity of a ticket, which begins before the answer with the ticket
   * arrives here.
   */
  private static final Duration TICKET_TRANSIT = Duration.ofMillis(20);

  /** How much longer than expected a member waits for the advice service to answer a call. */
  private static final long ADVICE_ALLOWANCE_MILLIS = 1000;

  private final MemberContext context;
  private final String selfAddress;
  private final long term;
  private final MemberTransport transport;
  private final BiConsumer<Long, CallerAnswer> localAnswerSink;
  private final CellScheduler scheduler;
  private final BoundedQueue<QueuedEvent> eventQueue = new BoundedQueue<>(EVENT_QUEUE_CAPACITY);
  private final Object requestLock = new Object();
  private final AtomicLong nextUnreadOffset = new AtomicLong();
  private final JournalWriter journalWriter;
  private final OrderSender orderSender;
  private final LiveWorkerCache liveWorkers;
  private final SchedulerBacklogs backlogs;
  private final StartThrottle startThrottle = new StartThrottle();
  private Optional<Integer> startLimit = Optional.empty();
  private final Instant begunAt;
  private final TermMembers members;
  private final List<Thread> threads = new CopyOnWriteArrayList<>();
  private volatile Set<String> advisingMembers = Set.of();
  private volatile boolean ended;
  private volatile Optional<PendingJobs> pendingJobs = Optional.empty();
  private volatile Optional<Integer> activeJobs = Optional.empty();
  private volatile List<OrganisationUsage> organisationUsage = List.of();
  private Instant usageDueAt = Instant.MIN;
  private volatile Instant storeAnsweredAt;

  /** Whether the queued requests are being returned; guarded by the lock. */
  private boolean closedToRequests;

  /** How many handled requests have no answer yet; used by the thread "scheduler" only. */
  private int unansweredRequests;

  /** How many requests were returned at the end; used by the thread "scheduler" only. */
  private int returnedRequests;

  /** The incarnation of each worker in the live list; a new ticket is for this incarnation. */
  private volatile Map<WorkerId, Long> incarnations = Map.of();

  /** An event, and when it was queued. */
  private record QueuedEvent(SchedulerEvent event, Instant queuedAt) {}

  private SchedulerTerm(
      MemberContext context,
      long term,
      LiveWorkerCache liveWorkers,
      Set<String> inheritedMembers,
      MemberTransport transport,
      BiConsumer<Long, CallerAnswer> localAnswerSink) {
    this.context = context;
    this.selfAddress = context.settings().peerAddress();
    this.members = new TermMembers(selfAddress, inheritedMembers);
    this.term = term;
    this.transport = transport;
    this.localAnswerSink = localAnswerSink;
    this.scheduler = CellScheduler.create(context.schedulerSettings());
    this.journalWriter =
        new JournalWriter(context, term, nextUnreadOffset, this::enqueue, this::end);
    this.orderSender = new OrderSender(context, term, this::ended, this::enqueue);
    this.liveWorkers = liveWorkers;
    this.storeAnsweredAt = context.clock().instant();
    this.begunAt = storeAnsweredAt;
    this.backlogs = new SchedulerBacklogs(context, term);
  }

  /**
   * Begins a term: records it in the store, fences older terms and reads the journal.
   *
   * @param context what the components of the member share
   * @param configuration the configuration in force, if the member knows one
   * @param liveWorkers what the member knows of the live list
   * @param inheritedMembers the addresses of the members that the last scheduler listed
   * @param transport sends messages to members
   * @param localAnswerSink receives the answers to requests that this member's callers sent
   * @return the term, or nothing if one of these calls of the store failed
   */
  static Optional<SchedulerTerm> begin(
      MemberContext context,
      Optional<CellConfiguration> configuration,
      LiveWorkerCache liveWorkers,
      Set<String> inheritedMembers,
      MemberTransport transport,
      BiConsumer<Long, CallerAnswer> localAnswerSink) {
    Either<StoreFailure, Long> number =
        TermRecords.append(context.store(), context.settings().peerAddress());
    if (number.isLeft()) {
      context
          .log()
          .write(
              "term not begun: the store did not confirm its record",
              Map.of("detail", number.getLeft().detail()));
      return Optional.empty();
    }
    SchedulerTerm newTerm =
        new SchedulerTerm(
            context, number.get(), liveWorkers, inheritedMembers, transport, localAnswerSink);
    return newTerm.recover(configuration) ? Optional.of(newTerm) : Optional.empty();
  }

  private boolean recover(Optional<CellConfiguration> configuration) {
    if (!journalWriter.recordTerm()) {
      return false;
    }
    Instant sentAt = context.clock().instant();
    Either<StoreFailure, StorePage> entries = context.store().readNewest(JournalCodec.TOPIC);
    if (entries.isLeft() || !liveWorkers.refresh()) {
      context.log().write("term not begun: journal or live list not read", Map.of("term", term));
      return false;
    }
    if (!journalWriter.fenceOlderTerms()) {
      // Reading took so long that another member has begun a newer term.
      return false;
    }
    nextUnreadOffset.set(entries.get().nextOffset());
    incarnations = liveWorkers.incarnations();
    context.log().write("term begun", Map.of("term", term, "journal", entries.get().nextOffset()));
    configuration.ifPresent(this::applyConfiguration);
    enqueue(
        new SchedulerEvent.Recovered(
            JournalCodec.decodeAll(entries.get().records(), context.log()),
            liveWorkers.workers(),
            liveWorkers.lapsed()));
    enqueue(new SchedulerEvent.JournalRead(sentAt));
    members.begin(context.clock().instant());
    startThread("scheduler", this::runUntilEnded);
    startThread("journal-writer", journalWriter::run);
    startThread("journal-follower", this::followJournal);
    startThread("live-list", this::followLiveList);
    return true;
  }

  /**
   * Starts a thread of this term. An exception or error in it ends the term, so that another one
   * can begin.
   */
  private void startThread(String name, Runnable action) {
    Runnable guarded =
        () -> {
          try {
            action.run();
          } catch (RuntimeException | Error e) {
            LOGGER.atSevere().withCause(e).log(
                "thread %s of term %d failed; the term ends", name, term);
            end("thread " + name + " failed: " + e);
          }
        };
    threads.add(Threads.start(name, guarded));
  }

  long term() {
    return term;
  }

  boolean ended() {
    return ended;
  }

  /** Returns when the term began, by the local monotonic clock. */
  Instant begunAt() {
    return begunAt;
  }

  /** Returns what is known of the term's queues. */
  SchedulerBacklogs backlogs() {
    return backlogs;
  }

  /** Returns whether the store has answered within the given time. */
  boolean storeAnsweredWithin(Duration span) {
    return context.clock().instant().isBefore(storeAnsweredAt.plus(span));
  }

  /**
   * Records that the store has answered, so that this member reaches it. An answer doesn't show
   * that this is the newest term.
   */
  void onStoreAnswer() {
    storeAnsweredAt = context.clock().instant();
  }

  /** Ends the term; running tasks continue under their leases. */
  void end(String reason) {
    if (!ended) {
      ended = true;
      context.log().write("term ended", Map.of("term", term, "reason", reason));
      threads.forEach(Thread::interrupt);
    }
  }

  /** Queues a configuration that is in force; older ones have no effect. */
  void applyConfiguration(CellConfiguration configuration) {
    enqueue(new SchedulerEvent.ConfigurationChanged(configuration));
  }

  /**
   * Queues a caller's request. Until the term has recovered, requests wait behind its recovery.
   *
   * @param caller the member to answer, and its number for the request
   * @param request the request
   * @return why the request was not taken, or empty if it was
   */
  Optional<NotTakenReason> offerRequest(CallerRequestId caller, CallerRequest request) {
    synchronized (requestLock) {
      if (ended || closedToRequests) {
        return Optional.of(NotTakenReason.NOT_LEADING);
      }
      boolean queued =
          eventQueue.offer(
              new QueuedEvent(
                  new SchedulerEvent.CallerRequestReceived(caller, request),
                  context.clock().instant()));
      return queued ? Optional.empty() : Optional.of(NotTakenReason.QUEUE_FULL);
    }
  }

  /** Records the heartbeat of a member, which says whether it can make calls for advice. */
  void onMemberHeartbeat(String member, MemberMessage.MemberHeartbeat heartbeat) {
    boolean takesCalls = !heartbeat.leaving() && heartbeat.mayHearReceiver();
    members.recordHeartbeat(member, takesCalls, context.clock().instant());
  }

  /** Queues the answer to a call for advice; drops it if another term made the call. */
  void onAdvice(MemberMessage.AdviceAnswer advice) {
    if (advice.term() != term) {
      context
          .log()
          .write(
              "advice for another term dropped",
              Map.of("term", term, "answered", advice.term(), "call", advice.call()));
      return;
    }
    Instant expiresAt =
        context.clock().instant().plusMillis(advice.validMillis()).minus(TICKET_TRANSIT);
    enqueue(
        new SchedulerEvent.AdviceCallFinished(
            advice.call(), advice.tickets().map(texts -> toTickets(texts, expiresAt))));
  }

  private Map<WorkerId, Ticket> toTickets(Map<String, String> texts, Instant expiresAt) {
    Map<WorkerId, Ticket> tickets = new HashMap<>();
    Map<WorkerId, Long> currentIncarnations = incarnations;
    texts.forEach(
        (name, text) -> {
          WorkerId worker = new WorkerId(name);
          Optional<Long> incarnation = Optional.ofNullable(currentIncarnations.get(worker));
          incarnation.ifPresentOrElse(
              number -> tickets.put(worker, new Ticket(text, number, expiresAt)),
              () ->
                  context
                      .log()
                      .write("ticket not used: worker not listed", Map.of("worker", worker)));
        });
    return tickets;
  }

  private static Set<WorkerId> idsOf(List<WorkerDescription> workers) {
    return workers.stream().map(WorkerDescription::id).collect(Collectors.toSet());
  }

  /** Returns the addresses of the members that the scheduler considers live, its own included. */
  Set<String> liveMembers() {
    return members.live(context.clock().instant());
  }

  /** Returns the addresses of the members that get calls for advice. */
  Set<String> advisingMembers() {
    return advisingMembers;
  }

  /** Returns what each organisation uses and may use, as of the last second. */
  List<OrganisationUsage> organisationUsage() {
    return organisationUsage;
  }

  /** Returns how many jobs have not ended, or empty before the first tick. */
  Optional<Integer> activeJobs() {
    return activeJobs;
  }

  /** Returns how many jobs wait to start, or empty until the recovered scheduler has counted. */
  Optional<PendingJobs> pendingJobs() {
    return pendingJobs;
  }

  private void enqueue(SchedulerEvent event) {
    if (!ended) {
      eventQueue.put(new QueuedEvent(event, context.clock().instant()));
    }
  }

  private void runUntilEnded() {
    try {
      runScheduler();
    } finally {
      returnQueuedRequests();
    }
  }

  private void runScheduler() {
    Instant nextTick = context.clock().instant();
    while (!ended) {
      Instant due = scheduler.nextDecisionAt().filter(nextTick::isAfter).orElse(nextTick);
      long wait = Duration.between(context.clock().instant(), due).toNanos();
      Optional<QueuedEvent> event = eventQueue.poll(Math.max(1, wait));
      Optional<Instant> oldestQueuedAt = event.map(QueuedEvent::queuedAt);
      int handled = 0;
      while (event.isPresent() && handled < MAXIMUM_EVENTS_PER_DECISION) {
        handle(event.get().event());
        handled++;
        event = eventQueue.poll();
      }
      // The last poll may have removed one event beyond the limit.
      event.map(QueuedEvent::event).ifPresent(this::handle);
      if (!context.clock().instant().isBefore(nextTick)) {
        nextTick = context.clock().instant().plus(TICK_INTERVAL);
        observeBacklogs(oldestQueuedAt);
        tick();
      }
      execute(scheduler.decide(context.clock().instant(), Instant.now()));
    }
  }

  private void observeBacklogs(Optional<Instant> oldestEventQueuedAt) {
    Map<Backlog, Instant> oldestSince = new EnumMap<>(Backlog.class);
    oldestEventQueuedAt.ifPresent(at -> oldestSince.put(Backlog.EVENTS, at));
    orderSender.oldestWaitingSince().ifPresent(at -> oldestSince.put(Backlog.ORDERS, at));
    journalWriter.awaitingSince().ifPresent(at -> oldestSince.put(Backlog.APPENDS, at));
    backlogs.observe(oldestSince);
    Optional<Integer> newLimit =
        startThrottle.update(
            backlogs.isCongested(Backlog.ORDERS),
            orderSender.ordersTaken(),
            context.clock().instant());
    if (!newLimit.equals(startLimit)) {
      startLimit = newLimit;
      handle(new SchedulerEvent.StartLimitChanged(newLimit));
    }
  }

  private void handle(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.CallerRequestReceived received) {
      if (ended) {
        returnRequest(received);
        return;
      }
      unansweredRequests++;
    }
    execute(scheduler.handle(event, context.clock().instant(), Instant.now()));
  }

  /**
   * Returns the requests that the ended term has not handled to their members. The others may be
   * stored; their members send them to the next term.
   */
  private void returnQueuedRequests() {
    synchronized (requestLock) {
      closedToRequests = true;
    }
    Optional<QueuedEvent> event = eventQueue.poll();
    while (event.isPresent()) {
      if (event.get().event() instanceof SchedulerEvent.CallerRequestReceived received) {
        returnRequest(received);
      }
      event = eventQueue.poll();
    }
    context.metrics().countLeftAtTermEnd(returnedRequests, unansweredRequests);
    context
        .log()
        .write(
            "requests left by an ended term",
            Map.of("term", term, "returned", returnedRequests, "handled", unansweredRequests));
  }

  private void returnRequest(SchedulerEvent.CallerRequestReceived received) {
    returnedRequests++;
    transport.send(
        received.caller().member(),
        new MemberMessage.RequestNotTaken(received.caller().number(), term));
  }

  private void tick() {
    handle(new SchedulerEvent.Ticked());
    // Jobs that other members stored since the journal was read are missing from the counts.
    pendingJobs =
        scheduler
            .pendingByQueue()
            .flatMap(
                byQueue ->
                    scheduler
                        .journalReadAt()
                        .map(readAt -> new PendingJobs(term, byQueue, readAt)));
    activeJobs = Optional.of(scheduler.activeJobs());
    if (!context.clock().instant().isBefore(usageDueAt)) {
      usageDueAt = context.clock().instant().plus(USAGE_INTERVAL);
      organisationUsage = scheduler.organisationUsage();
    }
    Set<String> currentMembers = members.update(context.clock().instant());
    if (!currentMembers.equals(advisingMembers)) {
      advisingMembers = currentMembers;
      context
          .log()
          .write("members changed", Map.of("members", currentMembers.size(), "term", term));
      handle(new SchedulerEvent.MembersChanged(currentMembers));
    }
  }

  private void execute(List<SchedulerEffect> effects) {
    effects.forEach(this::execute);
  }

  private void execute(SchedulerEffect effect) {
    if (effect instanceof SchedulerEffect.Store store) {
      journalWriter.submit(store.entries());
    } else if (effect instanceof SchedulerEffect.Answer answer) {
      deliverAnswer(answer);
    } else if (effect instanceof SchedulerEffect.Poll poll) {
      context.pollExecutor().execute(() -> poll(poll));
    } else if (effect instanceof SchedulerEffect.Start start) {
      orderSender.send(start);
    } else if (effect instanceof SchedulerEffect.Stop stop) {
      orderSender.send(stop);
    } else if (effect instanceof SchedulerEffect.RequestAdvice advise) {
      long timeoutMillis = advise.call().expectedDuration().toMillis() + ADVICE_ALLOWANCE_MILLIS;
      transport.send(
          advise.member(),
          new MemberMessage.AdviceRequest(
              term,
              advise.call().number(),
              advise.call().step(),
              advise.call().workers(),
              timeoutMillis));
    } else if (effect instanceof SchedulerEffect.StepDown stepDown) {
      end(stepDown.reason());
    } else if (effect instanceof SchedulerEffect.LogDecision decided) {
      context.metrics().countDecision(decided.decision());
      // Only decisions on new jobs state the queue.
      Optional.ofNullable(decided.inputs().get("queue"))
          .ifPresent(
              queue -> context.metrics().countAdmission(queue.toString(), decided.decision()));
      context.log().write(decided.decision(), decided.subject(), decided.inputs());
    }
  }

  private void deliverAnswer(SchedulerEffect.Answer effect) {
    unansweredRequests--;
    CallerRequestId caller = effect.caller();
    if (caller.member().equals(selfAddress)) {
      localAnswerSink.accept(caller.number(), effect.answer());
    } else {
      transport.send(
          caller.member(), new MemberMessage.ForwardedAnswer(caller.number(), effect.answer()));
    }
  }

  private void poll(SchedulerEffect.Poll poll) {
    if (ended) {
      return;
    }
    Instant sentAt = context.clock().instant();
    PollResult result = context.workerGateway().poll(poll, term);
    WorkerDescription worker = poll.worker();
    enqueue(
        new SchedulerEvent.WorkerPolled(
            worker.id(), worker.incarnation(), sentAt, poll.acknowledgeUpTo(), result));
  }

  private void followJournal() {
    boolean readable = true;
    while (!ended && Threads.pause(JOURNAL_READ_INTERVAL_MILLIS)) {
      Instant sentAt = context.clock().instant();
      Either<StoreFailure, StorePage> page = readJournal();
      page.forEach(entries -> deliverJournalPage(entries, sentAt));
      if (page.isRight() != readable) {
        readable = page.isRight();
        context
            .log()
            .write(
                readable ? "dependency regained" : "dependency lost",
                Map.of(
                    "dependency",
                    "store, for the entries of other members",
                    "detail",
                    page.fold(StoreFailure::detail, entries -> "")));
      }
    }
  }

  /**
   * Reads the unread records of the journal, or the newest record of each key if the store has
   * dropped unread ones.
   */
  private Either<StoreFailure, StorePage> readJournal() {
    Either<StoreFailure, StorePage> page =
        context.store().read(JournalCodec.TOPIC, nextUnreadOffset.get(), Duration.ZERO);
    boolean dropped = page.isLeft() && page.getLeft().kind() == StoreFailure.Kind.DROPPED;
    return dropped ? context.store().readNewest(JournalCodec.TOPIC) : page;
  }

  private void deliverJournalPage(StorePage page, Instant sentAt) {
    onStoreAnswer();
    OptionalLong newestTerm = JournalCodec.newestTerm(page.records());
    if (newestTerm.isPresent() && newestTerm.getAsLong() > term) {
      end("term " + newestTerm.getAsLong() + " has begun, as the journal says");
      return;
    }
    if (!page.records().isEmpty()) {
      enqueue(
          new SchedulerEvent.OtherMemberEntriesRead(
              JournalCodec.decodeAll(page.records(), context.log())));
    }
    nextUnreadOffset.accumulateAndGet(page.nextOffset(), Math::max);
    if (page.nextOffset() >= page.endOffset()) {
      enqueue(new SchedulerEvent.JournalRead(sentAt));
    }
  }

  private void followLiveList() {
    do {
      if (liveWorkers.refresh()) {
        List<WorkerDescription> workers = liveWorkers.workers();
        incarnations = liveWorkers.incarnations();
        enqueue(new SchedulerEvent.LiveListReceived(workers, idsOf(liveWorkers.lapsed())));
      }
    } while (!ended && Threads.pause(LIVE_LIST_INTERVAL_MILLIS));
  }
}
