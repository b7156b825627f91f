package org.hyssopport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.PeerMessage.Envelope;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.work.ConfigurationProjection;
import org.hyssopport.engine.work.StreamFollower.AppliedRecord;
import org.hyssopport.engine.work.StreamRecord.StreamOwned;
import org.hyssopport.engine.work.StreamRecord.TasksClaimed;

/**
 * Makes all decisions of one entry instance.
 *
 * <p>The engine takes typed events with the current time and returns typed effects. It is not safe
 * for use by several threads. Every {@link Effect.CallWorker} must be followed by exactly one
 * {@link Event.WorkerReplied}, and every {@link Effect.Append} by exactly one {@link
 * Event.AppendEnded}.
 *
 * @since 0.1
 * @see Event
 * @see Effect
 */
public final class EntryEngine {

  private final EngineContext context;
  private final Membership membership;
  private final FollowedStreams streams;
  private final AppendTracker tracker;
  private final WorkerPool pool;
  private final RequestRegistry registry;
  private final Forwarder forwarder;
  private final RequestDispatcher dispatcher;
  private final IdempotencyKeyManager keyManager;
  private final RequestHandler requestHandler;
  private final ConfigurationManager configurationManager;
  private final StreamOwnershipManager streamOwnership;
  private final OpenAttemptIndex openAttempts;
  private final AttemptManager attemptManager;
  private final BatchScheduler batchScheduler;
  private final GangScheduler gangScheduler;
  private final JobHandler jobHandler;
  private Instant nextFreeSlotNotice = Instant.EPOCH;
  private boolean drainReported;

  private EntryEngine(EngineContext context) {
    this.context = context;
    membership = new Membership(context);
    streams = new FollowedStreams(context.settings().streams());
    tracker = new AppendTracker(context);
    pool = new WorkerPool(context, membership);
    registry = new RequestRegistry(context, membership);
    forwarder = new Forwarder(context, membership, registry);
    OutlierEjection ejection = new OutlierEjection(context, pool);
    dispatcher = new RequestDispatcher(context, pool, registry, forwarder, ejection);
    keyManager = new IdempotencyKeyManager(context, streams, tracker, registry);
    keyManager.setRunner(dispatcher::enqueue);
    requestHandler = new RequestHandler(context, registry, dispatcher, forwarder, keyManager, pool);
    configurationManager = new ConfigurationManager(context, streams, tracker, membership);
    streamOwnership = new StreamOwnershipManager(context, streams, membership);
    openAttempts = new OpenAttemptIndex(streams);
    attemptManager = new AttemptManager(context, streams, pool, openAttempts, ejection, membership);
    pool.addObserver(attemptManager);
    batchScheduler =
        new BatchScheduler(
            context,
            streams,
            streamOwnership,
            membership,
            pool,
            openAttempts,
            attemptManager,
            tracker,
            dispatcher);
    gangScheduler =
        new GangScheduler(
            context, streams, streamOwnership, membership, pool, tracker, batchScheduler);
    jobHandler = new JobHandler(context, streams, tracker, membership);
  }

  /**
   * Returns an engine without a configuration, peers or workers; it learns them from events.
   *
   * @param self the name and incarnation of the instance
   * @param failureDomain the failure domain of the instance
   * @param allDomains all failure domains of the cell
   * @param settings the settings of the engine
   * @throws IllegalArgumentException if {@code allDomains} does not contain {@code failureDomain}
   */
  public static EntryEngine create(
      EntryId self,
      FailureDomain failureDomain,
      List<FailureDomain> allDomains,
      EngineSettings settings) {
    return new EntryEngine(new EngineContext(self, failureDomain, allDomains, settings));
  }

  /** Returns the streams whose records must be read and passed to this engine. */
  public List<StreamName> followedStreams() {
    return streams.names();
  }

  /** Returns whether the instance takes requests: it has a configuration and is not draining. */
  public boolean isReady() {
    return configurationManager.version() != ConfigurationProjection.NO_VERSION
        && !context.isDraining();
  }

  /**
   * Handles one event.
   *
   * @param event what happened
   * @param now the current time; the time of the previous event is used if that is later
   * @return the effects to carry out, in order
   */
  public List<Effect> handle(Event event, Instant now) {
    context.setTime(now.isBefore(context.now()) ? context.now() : now);
    apply(event);
    if (!(event instanceof Event.Ticked)) {
      dispatcher.dispatch();
    }
    announceFreeSlotsIfNeeded();
    return context.drainEffects();
  }

  private void apply(Event event) {
    if (event instanceof Event.Ticked) {
      tick();
    } else if (event instanceof Event.WorkerReplied replied) {
      onWorkerReply(replied);
    } else if (event instanceof Event.PeerMessageReceived received) {
      onPeerMessage(received.envelope());
    } else if (event instanceof Event.StreamRead read) {
      onStreamRead(read);
    } else if (event instanceof Event.AppendEnded ended) {
      tracker.onAppendEnded(ended);
    } else if (event instanceof Event.LiveListRead listed) {
      membership.applyLiveList(listed.list());
      pool.updateWorkers();
    } else if (event instanceof Event.DrainRequested) {
      drain();
    } else {
      applyRequest(event);
    }
  }

  private void applyRequest(Event event) {
    context.countOpenHandle();
    if (event instanceof Event.RequestReceived received) {
      requestHandler.receive(received.handle(), received.request());
    } else if (event instanceof Event.RequestQueried queried) {
      requestHandler.query(queried.handle(), queried.requestId());
    } else if (event instanceof Event.TicketRequested ticket) {
      requestHandler.issueTicket(ticket.handle());
    } else if (event instanceof Event.JobSubmitted submitted) {
      jobHandler.submit(submitted.handle(), submitted.submission());
    } else if (event instanceof Event.JobQueried queried) {
      jobHandler.query(queried.handle(), queried.job());
    } else if (event instanceof Event.JobsQueried queried) {
      jobHandler.list(queried.handle());
    } else if (event instanceof Event.JobCancellationRequested cancelled) {
      jobHandler.cancel(cancelled.handle(), cancelled.jobs());
    } else if (event instanceof Event.ConfigurationPublishRequested published) {
      configurationManager.publish(published);
    } else if (event instanceof Event.ConfigurationQueried queried) {
      configurationManager.query(queried.handle());
    } else if (event instanceof Event.StatusQueried queried) {
      context.reply(queried.handle(), new Answer.StatusAnswer(status()));
    }
  }

  private void tick() {
    sendHeartbeatsIfDue();
    membership.tick();
    pool.tick();
    requestHandler.tick();
    dispatcher.tick();
    tracker.tick();
    keyManager.tick();
    configurationManager.tick();
    streamOwnership.tick();
    attemptManager.tick();
    batchScheduler.tick();
    gangScheduler.tick();
    if (context.isDraining()) {
      continueDraining();
    }
  }

  private void sendHeartbeatsIfDue() {
    if (membership.isHeartbeatDue()) {
      membership.peers().forEach(this::sendHeartbeat);
    }
  }

  private void sendHeartbeat(Membership.Peer peer) {
    PeerMessage.Heartbeat heartbeat =
        new PeerMessage.Heartbeat(
            context.failureDomain(),
            context.now(),
            context.isDraining(),
            configurationManager.version(),
            pool.freeSlots(Lane.SHORT),
            pool.freeSlots(Lane.LONG),
            dispatcher.waitingCount());
    send(peer, Optional.empty(), heartbeat);
  }

  private void send(Membership.Peer peer, Optional<EntryId> receiver, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(peer.address(), new Envelope(context.self(), receiver, message)));
  }

  /**
   * Sends heartbeats to the peers of this failure domain that have waiting requests if slots are
   * free here, without waiting for the next regular heartbeat.
   */
  private void announceFreeSlotsIfNeeded() {
    boolean due = !context.now().isBefore(nextFreeSlotNotice);
    if (!due || dispatcher.waitingCount() > 0 || !membership.anyPeerHasWaitingRequests()) {
      return;
    }
    nextFreeSlotNotice = context.now().plus(context.settings().heartbeatInterval().dividedBy(25));
    if (pool.freeSlots(Lane.SHORT) == 0) {
      return;
    }
    for (Membership.Peer peer : membership.peers()) {
      if (peer.hasWaitingRequests() && peer.domain().equals(context.failureDomain())) {
        sendHeartbeat(peer);
      }
    }
  }

  private void onWorkerReply(Event.WorkerReplied event) {
    WorkerCall call = event.call();
    Optional<AttemptId> attempt = call.targetAttempt();
    if (attempt.isEmpty()) {
      pool.onWorkerReply(event.worker(), call, event.reply());
      return;
    }
    Optional<PooledWorker> worker = pool.worker(event.worker());
    if (worker.isEmpty()) {
      return;
    }
    WorkerReply reply = replaceMismatchedReply(attempt.get(), event.reply());
    boolean isJobAttempt = streams.job(jobIdOf(attempt.get())).isPresent();
    if (isJobAttempt) {
      attemptManager.onWorkerReply(worker.get(), call, attempt.get(), reply);
    } else {
      dispatcher.onWorkerReply(worker.get(), call, attempt.get(), reply);
    }
  }

  /** Returns an unusable reply in place of one that describes another attempt. */
  private static WorkerReply replaceMismatchedReply(AttemptId attempt, WorkerReply reply) {
    boolean mismatched =
        reply instanceof WorkerReply.AttemptState state && !state.view().attempt().equals(attempt);
    return mismatched ? new WorkerReply.NoUsableReply(true) : reply;
  }

  private static String jobIdOf(AttemptId attempt) {
    int slash = attempt.task().lastIndexOf('/');
    return slash < 0 ? attempt.task() : attempt.task().substring(0, slash);
  }

  private void onPeerMessage(Envelope envelope) {
    boolean forOtherIncarnation =
        envelope.receiver().map(receiver -> !receiver.equals(context.self())).orElse(false);
    if (forOtherIncarnation || envelope.sender().name().equals(context.self().name())) {
      return;
    }
    EntryId sender = envelope.sender();
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      membership.recordHeartbeat(sender, heartbeat);
      membership.reachablePeer(sender).ifPresent(configurationManager::queryIfNewer);
    } else if (message instanceof PeerMessage.Forward forward) {
      requestHandler.receiveForwarded(sender, forward);
    } else if (message instanceof PeerMessage.ForwardDeclined declined) {
      requestHandler.onForwardDeclined(sender, declined);
    } else if (message instanceof PeerMessage.ForwardAnswered answered) {
      requestHandler.onForwardAnswered(sender, answered);
    } else if (message instanceof PeerMessage.ForwardQuery query) {
      forwarder.onForwardQuery(sender, query);
    } else if (message instanceof PeerMessage.ConfigurationQuery) {
      configurationManager.onConfigurationQuery(sender);
    } else if (message instanceof PeerMessage.ConfigurationOffered offer) {
      configurationManager.onConfigurationOffered(offer);
    } else if (message instanceof PeerMessage.WorkerReleased released) {
      pool.onReleasedByPeer(released.worker());
    } else if (message instanceof PeerMessage.ReserveTasks request) {
      gangScheduler.onReserveTasks(sender, request);
    } else if (message instanceof PeerMessage.TasksReserved reserved) {
      gangScheduler.onTasksReserved(sender, reserved);
    } else if (message instanceof PeerMessage.ReservationCancelled cancelled) {
      gangScheduler.onReservationCancelled(cancelled);
    }
  }

  private void onStreamRead(Event.StreamRead read) {
    Optional<Integer> index = streams.indexOf(read.stream());
    boolean wasInitialized =
        index.map(each -> streams.workStream(each).isInitialized()).orElse(true);
    boolean gap =
        index
            .map(each -> read.firstRetained() > streams.workStream(each).nextOffset())
            .orElse(false);
    List<AppliedRecord> applied = streams.applyRecords(read);
    configurationManager.applyFromLog();
    boolean mayBeRestored = !wasInitialized || gap;
    // A restored projection may hold attempts whose claims are not among the applied records.
    if (mayBeRestored) {
      index.ifPresent(openAttempts::rebuild);
    }
    for (AppliedRecord each : applied) {
      if (each.valid() && each.record() instanceof TasksClaimed claim) {
        gangScheduler.onTasksClaimed(claim);
      }
      if (each.valid()) {
        recordStreamOwner(read.stream(), each);
      }
    }
    if (!mayBeRestored) {
      attemptManager.onRecordsApplied(applied);
    }
    keyManager.onRecordsApplied(applied);
    jobHandler.onRecordsApplied(applied);
    tracker.onRecordsApplied(applied);
  }

  private void recordStreamOwner(StreamName stream, AppliedRecord applied) {
    if (applied.record() instanceof StreamOwned owned) {
      context.recordTimelineEvent(TimelineKind.STREAM_OWNED, stream, owned.failureDomain());
    }
  }

  private void drain() {
    if (context.isDraining()) {
      return;
    }
    context.startDraining();
    context.recordTimelineEvent(
        TimelineKind.DRAIN_STARTED, context.self(), registry.activeCount() + " requests to finish");
    membership.peers().forEach(this::sendHeartbeat);
  }

  private void continueDraining() {
    boolean idle =
        context.openHandleCount() == 0
            && registry.waitingRecipientCount() == 0
            && dispatcher.waitingCount() == 0
            && batchScheduler.isIdle()
            && gangScheduler.isIdle()
            && attemptManager.isIdle()
            && keyManager.isIdle();
    if (!idle) {
      return;
    }
    pool.releaseIdleLeases();
    if (!pool.hasOpenLeases() && !drainReported) {
      drainReported = true;
      context.recordTimelineEvent(
          TimelineKind.DRAIN_ENDED,
          context.self(),
          "no request, claim, close or worker lease is left");
      context.emit(new Effect.Drained());
    }
  }

  private StatusView status() {
    List<String> reachablePeers = new ArrayList<>();
    for (Membership.Peer peer : membership.peers()) {
      if (peer.isReachable(context.now(), context.settings())) {
        reachablePeers.add(peer.name());
      }
    }
    List<StatusView.WorkerLine> lines = new ArrayList<>();
    int clockSuspects = 0;
    for (PooledWorker worker : pool.workers()) {
      clockSuspects += worker.isClockSuspect() ? 1 : 0;
      lines.add(
          new StatusView.WorkerLine(
              worker.id().name(),
              worker.state().name(),
              worker.ledger().usedSlots(),
              worker.instance().slots(),
              worker.failureTracker().isEjected(),
              worker.isLeaving(),
              worker.otherHolder().map(EntryId::toString)));
    }
    return new StatusView(
        context.self().toString(),
        context.failureDomain().name(),
        isReady(),
        context.isDraining(),
        configurationManager.version(),
        reachablePeers,
        lines,
        dispatcher.waitingCount(),
        registry.activeCount() - dispatcher.waitingCount(),
        jobHandler.unfinishedCount(),
        clockSuspects);
  }
}
