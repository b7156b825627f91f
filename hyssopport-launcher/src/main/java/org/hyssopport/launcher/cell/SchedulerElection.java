package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.stream.Stream;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.engine.scheduler.CallerRequestId;
import org.hyssopport.platform.GroupAssignment;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.protocol.MemberMessage;

/**
 * Tracks which member is the scheduler, and begins a term on this member when there is none.
 *
 * <p>The store assigns the only partition of the group "schedulers" to one of the members, which
 * then has to make sure that there is a scheduler. The owner begins a term only if no heartbeat of
 * a scheduler arrives, or if the scheduler has lost the store: reassigning the partition alone
 * doesn't move leadership. Safety doesn't rest on the assignment, since terms fence the writer of
 * the journal and the workers.
 *
 * <p>{@link ElectionPolicy} decides, and {@link SchedulerTerm} runs the scheduler. Separate threads
 * run {@link #runMembership} and {@link #runHeartbeats}; other threads deliver messages and send
 * requests.
 */
final class SchedulerElection implements ForwardingRequestHandler.SchedulerClient {

  private static final String LEAVING = "leaving";

  private static final long HEARTBEAT_INTERVAL_MILLIS = 200;

  /** Less than half of the time without the store after which the entries of workers expire. */
  private static final long STANDBY_LIVE_LIST_INTERVAL_MILLIS = 2000;

  /**
   * How long a scheduler may go without an answer of the store before another member takes over:
   * two missed reads of the journal, which are 250 ms apart, and the time of an answer.
   */
  private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

  /**
   * How long a member that reaches neither the scheduler nor the store stays ready; after that,
   * callers are sent to other members.
   */
  private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(1);

  /** The platform allows a count of waiting jobs to be at most 2 s old. */
  private static final Duration MAXIMUM_PENDING_AGE = Duration.ofSeconds(2);

  private final MemberContext context;
  private final MemberTransport transport;
  private final BiConsumer<Long, CallerAnswer> localAnswerSink;
  private final String selfAddress;
  private final Instant startedAt;
  private volatile Optional<SchedulerTerm> ownTerm = Optional.empty();
  private volatile Optional<String> schedulerAddress = Optional.empty();
  private volatile long newestTerm;
  private volatile Instant schedulerSeenAt = Instant.MIN;
  private volatile boolean schedulerReachedStore;

  /** Whether the last word of the scheduler at {@link #schedulerAddress} was that it leads. */
  private volatile boolean schedulerLeads;

  /** When a scheduler last said that it no longer leads, or this process started. */
  private volatile Instant notLeadingSince;

  private volatile Optional<String> newestTermLeader = Optional.empty();
  private volatile long newestEndedTerm;
  private volatile boolean lastSchedulerAnswered;
  private volatile Optional<PendingJobs> reportedPendingJobs = Optional.empty();
  private volatile Set<String> memberAddresses = Set.of();
  private volatile Optional<CellConfiguration> configuration = Optional.empty();
  private volatile Runnable newSchedulerListener = () -> {};
  private volatile LongConsumer notTakenListener = number -> {};
  private final ElectionPolicy policy;
  private final LiveWorkerCache liveWorkers;
  private final NotTakenRequests notTakenRequests;
  private final Successors successors = new Successors();
  private final StoreContact storeContact;
  private final SchedulerGroup group;

  /** Orders the announcement of a term and its hand-over, also if the member leaves meanwhile. */
  private final Object leadershipLock = new Object();

  private volatile boolean leaving;

  SchedulerElection(
      MemberContext context,
      MemberTransport transport,
      BiConsumer<Long, CallerAnswer> localAnswerSink) {
    this.context = context;
    this.transport = transport;
    this.localAnswerSink = localAnswerSink;
    this.selfAddress = context.settings().peerAddress();
    this.startedAt = context.clock().instant().truncatedTo(ChronoUnit.MILLIS);
    this.notLeadingSince = startedAt;
    this.storeContact = new StoreContact(context);
    this.group = new SchedulerGroup(context);
    this.notTakenRequests = new NotTakenRequests(context);
    this.liveWorkers = new LiveWorkerCache(context.store(), context.log(), context.clock());
    this.policy = ElectionPolicy.of(SchedulerRank.of(context.settings()), startedAt);
  }

  Optional<SchedulerTerm> activeTerm() {
    return ownTerm.filter(term -> !term.ended());
  }

  @Override
  public Optional<SchedulerSeat> trySend(long number, CallerRequest request) {
    Optional<SchedulerTerm> term = activeTerm();
    if (term.isPresent()) {
      boolean taken = offerToOwnTerm(new CallerRequestId(selfAddress, number), request).isEmpty();
      return taken
          ? Optional.of(new SchedulerSeat(selfAddress, term.get().term()))
          : Optional.empty();
    }
    Optional<String> address = schedulerAddress;
    if (!schedulerSeenRecently() || address.isEmpty()) {
      return Optional.empty();
    }
    transport.send(address.get(), new MemberMessage.ForwardedRequest(number, request));
    return Optional.of(new SchedulerSeat(address.get(), newestTerm));
  }

  /** Queues a request for this member's term; returns why it was not taken, or empty if it was. */
  private Optional<NotTakenReason> offerToOwnTerm(CallerRequestId caller, CallerRequest request) {
    Optional<NotTakenReason> notTaken =
        activeTerm()
            .map(term -> term.offerRequest(caller, request))
            .orElse(Optional.of(NotTakenReason.NOT_LEADING));
    notTaken.ifPresent(reason -> notTakenRequests.record(caller, request, reason, newestTerm));
    return notTaken;
  }

  @Override
  public Optional<PendingJobs> pendingJobs() {
    Instant now = context.clock().instant();
    return Stream.of(ownTerm.flatMap(SchedulerTerm::pendingJobs), reportedPendingJobs)
        .flatMap(Optional::stream)
        .filter(counts -> counts.isCountedWithin(MAXIMUM_PENDING_AGE, now))
        .max(Comparator.comparing(PendingJobs::countedAt));
  }

  @Override
  public boolean hasRecentContact() {
    return activeTerm().isPresent()
        || schedulerSeenWithin(READINESS_TIMEOUT)
        || storeContact.answeredWithin(READINESS_TIMEOUT);
  }

  @Override
  public boolean schedulerSeenRecently() {
    return activeTerm().isPresent()
        || (schedulerLeads && schedulerSeenWithin(ElectionPolicy.SCHEDULER_TIMEOUT));
  }

  @Override
  public boolean nextSchedulerExpected() {
    if (schedulerSeenRecently()) {
      return false;
    }
    Instant lostAt =
        schedulerLeads ? schedulerSeenAt.plus(ElectionPolicy.SCHEDULER_TIMEOUT) : notLeadingSince;
    return context.clock().instant().isBefore(lostAt.plus(ElectionPolicy.USUAL_TAKE_OVER_TIME));
  }

  @Override
  public boolean storeAvailable() {
    return storeContact.available();
  }

  private boolean schedulerSeenWithin(Duration span) {
    return context.clock().instant().isBefore(schedulerSeenAt.plus(span));
  }

  /** Handles a message about the scheduler, a forwarded or returned request, or advice. */
  void receive(String sender, MemberMessage message) {
    Optional<SchedulerTerm> term = activeTerm();
    if (message instanceof MemberMessage.LeaderHeartbeat leaderHeartbeat) {
      onLeaderHeartbeat(sender, leaderHeartbeat);
    } else if (message instanceof MemberMessage.MemberHeartbeat memberHeartbeat
        && term.isPresent()) {
      term.get().onMemberHeartbeat(sender, memberHeartbeat);
      Instant now = context.clock().instant();
      successors.record(sender, SchedulerRank.statedIn(memberHeartbeat), now);
      boolean reachesStore = term.get().storeAnsweredWithin(STORE_TIMEOUT);
      transport.send(
          sender,
          new MemberMessage.LeaderHeartbeat(
              term.get().term(),
              reachesStore,
              term.get()
                  .pendingJobs()
                  .map(counts -> counts.toMessage(memberHeartbeat.sentAtMillis(), now)),
              term.get().liveMembers(),
              ConfigurationExchange.statedVersion(configuration)));
    } else if (message instanceof MemberMessage.MemberHeartbeat) {
      transport.send(sender, new MemberMessage.NotLeading(newestTerm, false));
    } else if (message instanceof MemberMessage.NotLeading notLeading) {
      if (notLeading.congested()) {
        policy.recordCongestionHandOver(context.clock().instant());
      }
      onNotLeading(sender, notLeading.term());
    } else if (message instanceof MemberMessage.ForwardedRequest forwarded) {
      receiveRequest(sender, forwarded);
    } else if (message instanceof MemberMessage.RequestNotTaken notTaken) {
      onNotLeading(sender, notTaken.term());
      notTakenListener.accept(notTaken.number());
    } else if (message instanceof MemberMessage.AdviceAnswer advice && term.isPresent()) {
      term.get().onAdvice(advice);
    }
  }

  private void receiveRequest(String sender, MemberMessage.ForwardedRequest forwarded) {
    CallerRequestId caller = new CallerRequestId(sender, forwarded.number());
    offerToOwnTerm(caller, forwarded.request())
        .ifPresent(reason -> transport.send(sender, toMessage(reason, forwarded.number())));
  }

  private MemberMessage toMessage(NotTakenReason reason, long number) {
    return switch (reason) {
      case NOT_LEADING -> new MemberMessage.RequestNotTaken(number, newestTerm);
      case QUEUE_FULL ->
          new MemberMessage.ForwardedAnswer(
              number,
              CallerAnswer.withRetryAfter(CallerAnswer.Verdict.UNAVAILABLE, Duration.ofSeconds(1)));
    };
  }

  private void onLeaderHeartbeat(String sender, MemberMessage.LeaderHeartbeat heartbeat) {
    boolean outdated = heartbeat.term() < newestTerm || heartbeat.term() <= newestEndedTerm;
    if (outdated) {
      return;
    }
    endOlderTerm(heartbeat.term(), sender);
    if (activeTerm().isPresent()) {
      return;
    }
    boolean newTerm = heartbeat.term() > newestTerm;
    boolean resumes = !schedulerSeenRecently();
    if (newTerm) {
      context
          .log()
          .write(
              "scheduler of a newer term found",
              Map.of("term", heartbeat.term(), "address", sender));
    }
    newestTerm = heartbeat.term();
    newestTermLeader = Optional.of(sender);
    schedulerAddress = Optional.of(sender);
    schedulerLeads = true;
    schedulerSeenAt = context.clock().instant();
    lastSchedulerAnswered = true;
    schedulerReachedStore = heartbeat.storeWell();
    // Without a count, the last one remains in use until it is too old.
    heartbeat
        .pendingCount()
        .filter(this::answersThisProcess)
        .map(count -> PendingJobs.fromMessage(heartbeat.term(), count))
        .ifPresent(counts -> reportedPendingJobs = Optional.of(counts));
    memberAddresses = heartbeat.members();
    if (newTerm || resumes) {
      // The scheduler learns that it is heard, and counts on this member for calls for advice.
      sendHeartbeat();
      // What was sent meanwhile may be lost; a second copy of a request has no effect.
      newSchedulerListener.run();
    }
  }

  /** Ends this member's term if it is older than that of another scheduler. */
  private void endOlderTerm(long newerTerm, String newerLeader) {
    synchronized (leadershipLock) {
      activeTerm()
          .filter(term -> term.term() < newerTerm)
          .ifPresent(
              term -> handOver(term, "term " + newerTerm + " has begun on " + newerLeader, false));
    }
  }

  /**
   * Returns whether a count answers a heartbeat of this process. The scheduler may still answer one
   * of an earlier process under this address, whose clock may have differed.
   */
  private boolean answersThisProcess(MemberMessage.PendingCount count) {
    Instant heartbeatSentAt = Instant.ofEpochMilli(count.heartbeatSentAtMillis());
    return !heartbeatSentAt.isBefore(startedAt)
        && !heartbeatSentAt.isAfter(context.clock().instant());
  }

  private void onNotLeading(String sender, long term) {
    if (schedulerAddress.filter(sender::equals).isPresent() && activeTerm().isEmpty()) {
      if (schedulerLeads) {
        notLeadingSince = context.clock().instant();
      }
      schedulerLeads = false;
      if (newestTermLeader.filter(sender::equals).isPresent() && term >= newestTerm) {
        // The sender knows this term, so it does not answer as a process that has just started.
        newestEndedTerm = newestTerm;
      }
      if (lastSchedulerAnswered && !schedulerReachedStore) {
        // The owner of the partition may already begin a term.
        return;
      }
      context.log().write("scheduler no longer leads", Map.of("address", sender, "term", term));
      lastSchedulerAnswered = true;
      // Lets the owner of the partition begin a term without waiting for the scheduler's timeout.
      schedulerReachedStore = false;
    }
  }

  private ElectionPolicy.LastSchedulerContact lastContact() {
    return ElectionPolicy.LastSchedulerContact.of(
        schedulerAddress.isPresent(), lastSchedulerAnswered);
  }

  /** Returns how long a queue of this member's term is behind, if it is the scheduler. */
  Optional<Integer> backlogMillis(CongestionDetector.Backlog backlog) {
    return activeTerm().flatMap(term -> term.backlogs().ageMillis(backlog));
  }

  /** Returns the number of active jobs if this member is the scheduler and knows it. */
  Optional<Integer> activeJobs() {
    return activeTerm().flatMap(SchedulerTerm::activeJobs);
  }

  /**
   * Keeps this member in the group while it is a candidate, and begins a term if it owns the
   * partition and there is no working scheduler.
   */
  void runMembership() {
    Threads.runRound("membership", this::findScheduler);
    while (!leaving) {
      Threads.runRound("membership", this::keepMembership);
      Duration interval =
          ElectionPolicy.joinInterval(schedulerSeenRecently(), storeContact.available());
      if (!Threads.pause(interval.toMillis())) {
        return;
      }
    }
  }

  private void findScheduler() {
    readSchedulerAddress();
    sendHeartbeat();
  }

  private void keepMembership() {
    handOverIfDue();
    if (isCandidate()) {
      joinGroup(false);
    } else if (group.joined()) {
      group.leave();
    }
  }

  private boolean isCandidate() {
    return policy.isCandidate(
        context.clock().instant(),
        schedulerSeenAt,
        storeContact.regainedAt(),
        activeTerm().isPresent());
  }

  /** Hands over leadership if the policy has a reason to. */
  private void handOverIfDue() {
    Instant now = context.clock().instant();
    Optional<SchedulerRank> best = successors.bestRank(now);
    activeTerm()
        .ifPresent(
            term ->
                policy
                    .handOverReason(now, best, term.begunAt(), term.backlogs().callForHandOver())
                    .ifPresent(reason -> handOverToOther(term, now, reason)));
  }

  private void handOverToOther(
      SchedulerTerm term, Instant now, ElectionPolicy.HandOverReason reason) {
    policy.recordHandOver(now, reason);
    // Delays the next candidacy of this member, so that the other one can take over.
    schedulerSeenAt = now;
    handOver(term, reason.text(), reason == ElectionPolicy.HandOverReason.CONGESTED);
    group.leave();
  }

  private void joinGroup(boolean retried) {
    Either<StoreFailure, GroupAssignment> assignment = group.join();
    recordStoreAvailability(assignment);
    if (leaving) {
      // The call may have reached the store after the one with which this member left the group.
      group.leave();
      return;
    }
    if (assignment.isLeft()) {
      return;
    }
    if (!isCandidate()) {
      // The call was the first one to reach the store again; suited members get their chance.
      group.leave();
      return;
    }
    activeTerm().ifPresent(SchedulerTerm::onStoreAnswer);
    if (group.updateGeneration(assignment.get()) && !retried) {
      joinGroup(true);
      return;
    }
    boolean mayLead = activeTerm().isEmpty() && !leaving;
    if (mayLead
        && assignment.get().partitions().contains(SchedulerGroup.LEADER_PARTITION)
        && mayBeginTerm()) {
      beginTerm();
    }
  }

  private boolean mayBeginTerm() {
    ElectionPolicy.SchedulerContact contact =
        new ElectionPolicy.SchedulerContact(
            schedulerSeenAt, schedulerLeads, schedulerReachedStore, lastContact());
    return policy.mayBeginTerm(context.clock().instant(), contact, storeContact.regainedAt());
  }

  /** Records whether the store has answered a call of this member. */
  void recordStoreAvailability(Either<StoreFailure, ?> result) {
    storeContact.record(result);
  }

  private void beginTerm() {
    Optional<SchedulerTerm> begun =
        SchedulerTerm.begin(
            context, configuration, liveWorkers, memberAddresses, transport, localAnswerSink);
    begun.ifPresent(this::takeOver);
  }

  private void takeOver(SchedulerTerm term) {
    synchronized (leadershipLock) {
      ownTerm = Optional.of(term);
      // A configuration that came into force while the term began has not reached it.
      configuration.ifPresent(term::applyConfiguration);
      newestTerm = Math.max(newestTerm, term.term());
      schedulerLeads = false;
      announceTerm(term);
      if (leaving) {
        handOver(term, LEAVING, false);
      }
    }
    newSchedulerListener.run();
    if (leaving) {
      group.leave();
    }
  }

  /** Passes a configuration that came into force to this member's term, now or when one begins. */
  void applyConfiguration(CellConfiguration newer) {
    synchronized (leadershipLock) {
      configuration = Optional.of(newer);
      activeTerm().ifPresent(term -> term.applyConfiguration(newer));
    }
  }

  /** Announces the new term to the members that the last scheduler listed. */
  private void announceTerm(SchedulerTerm term) {
    for (String member : memberAddresses) {
      if (!member.equals(selfAddress)) {
        transport.send(
            member,
            new MemberMessage.LeaderHeartbeat(
                term.term(), true, Optional.empty(), memberAddresses));
      }
    }
  }

  /**
   * Ends this member's term and tells the other members, so that they send it no more requests and
   * the owner of the partition begins the next term at once.
   */
  private void handOver(SchedulerTerm term, String reason, boolean congested) {
    term.end(reason);
    notLeadingSince = context.clock().instant();
    for (String member : term.liveMembers()) {
      if (!member.equals(selfAddress)) {
        transport.send(member, new MemberMessage.NotLeading(term.term(), congested));
      }
    }
  }

  /**
   * Sets the action that runs when a new term begins, on this member or on another one, and when
   * the scheduler answers again after its timeout.
   */
  void setNewSchedulerListener(Runnable listener) {
    newSchedulerListener = listener;
  }

  /** Sets what receives the numbers of this member's requests that a scheduler has not taken. */
  void setNotTakenListener(LongConsumer listener) {
    notTakenListener = listener;
  }

  /** Returns the members that the last scheduler listed. */
  Set<String> memberAddresses() {
    return memberAddresses;
  }

  /**
   * Keeps the live list known while this member may become the scheduler; a term reads it itself.
   */
  void runLiveList() {
    while (policy.rank() == SchedulerRank.SUITED
        && Threads.pause(STANDBY_LIVE_LIST_INTERVAL_MILLIS)) {
      if (activeTerm().isEmpty()) {
        Threads.runRound("live-list", liveWorkers::refresh);
      }
    }
  }

  /**
   * Sends heartbeats to the scheduler; if it is silent, reconnects to it and reads its address from
   * the store again.
   */
  void runHeartbeats() {
    while (Threads.pause(HEARTBEAT_INTERVAL_MILLIS)) {
      if (activeTerm().isEmpty()) {
        Threads.runRound("presence", this::keepPresence);
      }
    }
  }

  private void keepPresence() {
    if (!schedulerSeenWithin(ElectionPolicy.SCHEDULER_TIMEOUT)) {
      schedulerAddress.ifPresent(transport::reconnect);
      readSchedulerAddress();
    }
    sendHeartbeat();
  }

  private void sendHeartbeat() {
    schedulerAddress.ifPresent(address -> transport.send(address, heartbeat()));
  }

  private MemberMessage.MemberHeartbeat heartbeat() {
    boolean mayLead = storeContact.available() && !leaving;
    return new MemberMessage.MemberHeartbeat(
        context.settings().failureDomain(),
        leaving,
        mayLead && policy.rank() == SchedulerRank.SUITED,
        mayLead ? Optional.of(policy.rank().number()) : Optional.empty(),
        context.clock().instant().toEpochMilli(),
        ConfigurationExchange.statedVersion(configuration),
        Optional.of(schedulerSeenRecently()));
  }

  private void readSchedulerAddress() {
    Either<StoreFailure, Optional<String>> newest = TermRecords.newestAddress(context.store());
    recordStoreAvailability(newest);
    newest
        .getOrElse(Optional.empty())
        .ifPresent(
            address ->
                schedulerAddress =
                    Optional.of(address).filter(other -> !other.equals(selfAddress)));
  }

  /** Announces that this member leaves, ends its term if it leads, and leaves the group. */
  void leave() {
    leaving = true;
    sendHeartbeat();
    synchronized (leadershipLock) {
      activeTerm().ifPresent(term -> handOver(term, LEAVING, false));
    }
    group.leave();
  }
}
