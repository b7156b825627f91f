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
 * Decides everything that one entry instance does.
 *
 * <p>It takes typed events and the time and returns typed effects. It is not safe for use by
 * several threads. Every {@link Effect.CallWorker} must lead to one {@link Event.WorkerReplied},
 * and every {@link Effect.Append} to one {@link Event.AppendEnded}.
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
  private final IdempotencyKeyManager keys;
  private final RequestHandler requests;
  private final ConfigurationManager configuration;
  private final StreamOwnershipManager owners;
  private final OpenAttemptIndex open;
  private final AttemptManager attempts;
  private final BatchScheduler batch;
  private final GangScheduler gangs;
  private final JobHandler jobs;
  private Instant nextHeadroomNotice = Instant.EPOCH;
  private boolean drainedSaid;

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
    keys = new IdempotencyKeyManager(context, streams, tracker, registry);
    keys.setRunner(dispatcher::enqueue);
    requests = new RequestHandler(context, registry, dispatcher, forwarder, keys, pool);
    configuration = new ConfigurationManager(context, streams, tracker, membership);
    owners = new StreamOwnershipManager(context, streams, membership);
    open = new OpenAttemptIndex(streams);
    attempts = new AttemptManager(context, streams, pool, open, ejection, membership);
    pool.addObserver(attempts);
    batch =
        new BatchScheduler(
            context, streams, owners, membership, pool, open, attempts, tracker, dispatcher);
    gangs = new GangScheduler(context, streams, owners, membership, pool, tracker, batch);
    jobs = new JobHandler(context, streams, tracker, membership, open);
  }

  /**
   * Returns an engine that knows nothing yet.
   *
   * @param self this run of the instance
   * @param failureDomain where it stands
   * @param allDomains all failure domains of the cell
   * @param settings the settings
   */
  public static EntryEngine create(
      EntryId self,
      FailureDomain failureDomain,
      List<FailureDomain> allDomains,
      EngineSettings settings) {
    return new EntryEngine(new EngineContext(self, failureDomain, allDomains, settings));
  }

  /** Returns the streams that must be read for this engine. */
  public List<StreamName> followedStreams() {
    return streams.names();
  }

  /** Tells whether the instance may get requests: it has a configuration and is not leaving. */
  public boolean isReady() {
    return configuration.version() != ConfigurationProjection.NO_VERSION && !context.isDraining();
  }

  /**
   * Takes one event.
   *
   * @param event what happened
   * @param now the time, which must never go back
   * @return what must be done, in order
   */
  public List<Effect> handle(Event event, Instant now) {
    context.setTime(now.isBefore(context.now()) ? context.now() : now);
    apply(event);
    if (!(event instanceof Event.Ticked)) {
      dispatcher.dispatch();
    }
    announceHeadroomIfWanted();
    return context.drainEffects();
  }

  private void apply(Event event) {
    if (event instanceof Event.Ticked) {
      tick();
    } else if (event instanceof Event.WorkerReplied replied) {
      workerReplied(replied);
    } else if (event instanceof Event.PeerMessageReceived received) {
      peerMessage(received.envelope());
    } else if (event instanceof Event.StreamRead read) {
      streamRead(read);
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
      requests.receive(received.handle(), received.request());
    } else if (event instanceof Event.RequestQueried queried) {
      requests.query(queried.handle(), queried.requestId());
    } else if (event instanceof Event.TicketRequested ticket) {
      requests.issueTicket(ticket.handle());
    } else if (event instanceof Event.JobSubmitted submitted) {
      jobs.submit(submitted.handle(), submitted.submission());
    } else if (event instanceof Event.JobQueried queried) {
      jobs.query(queried.handle(), queried.job());
    } else if (event instanceof Event.JobsQueried queried) {
      jobs.list(queried.handle());
    } else if (event instanceof Event.JobCancellationRequested cancelled) {
      jobs.cancel(cancelled.handle(), cancelled.jobs());
    } else if (event instanceof Event.ConfigurationPublishRequested published) {
      configuration.publish(published);
    } else if (event instanceof Event.ConfigurationQueried queried) {
      configuration.query(queried.handle());
    } else if (event instanceof Event.StatusQueried queried) {
      context.reply(queried.handle(), new Answer.StatusAnswer(status()));
    }
  }

  private void tick() {
    sendHeartbeatsIfDue();
    membership.tick();
    pool.tick();
    requests.tick();
    dispatcher.tick();
    tracker.tick();
    keys.tick();
    configuration.tick();
    owners.tick();
    attempts.tick();
    batch.tick();
    gangs.tick();
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
            configuration.version(),
            pool.freeSlots(Lane.SHORT),
            pool.freeSlots(Lane.LONG),
            dispatcher.waitingCount());
    send(peer, Optional.empty(), heartbeat);
  }

  private void send(Membership.Peer peer, Optional<EntryId> receiver, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(peer.address(), new Envelope(context.self(), receiver, message)));
  }

  /** Tells peers with waiting requests at once that slots became free here. */
  private void announceHeadroomIfWanted() {
    boolean due = !context.now().isBefore(nextHeadroomNotice);
    if (!due || dispatcher.waitingCount() > 0 || !membership.anyPeerHasWaitingRequests()) {
      return;
    }
    nextHeadroomNotice = context.now().plus(context.settings().heartbeatInterval().dividedBy(25));
    if (pool.freeSlots(Lane.SHORT) == 0) {
      return;
    }
    for (Membership.Peer peer : membership.peers()) {
      if (peer.hasWaitingRequests() && peer.domain().equals(context.failureDomain())) {
        sendHeartbeat(peer);
      }
    }
  }

  private void workerReplied(Event.WorkerReplied event) {
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
    WorkerReply reply = withoutCrossed(attempt.get(), event.reply());
    boolean kept = streams.job(jobOf(attempt.get())).isPresent();
    if (kept) {
      attempts.onWorkerReply(worker.get(), call, attempt.get(), reply);
    } else {
      dispatcher.onWorkerReply(worker.get(), call, attempt.get(), reply);
    }
  }

  /** Treats a reply that speaks of another attempt as no reply. */
  private static WorkerReply withoutCrossed(AttemptId attempt, WorkerReply reply) {
    boolean crossed =
        reply instanceof WorkerReply.AttemptState state && !state.view().attempt().equals(attempt);
    return crossed ? new WorkerReply.NoUsableReply(true) : reply;
  }

  private static String jobOf(AttemptId attempt) {
    int slash = attempt.task().lastIndexOf('/');
    return slash < 0 ? attempt.task() : attempt.task().substring(0, slash);
  }

  private void peerMessage(Envelope envelope) {
    boolean forOther =
        envelope.receiver().map(receiver -> !receiver.equals(context.self())).orElse(false);
    if (forOther || envelope.sender().name().equals(context.self().name())) {
      return;
    }
    EntryId sender = envelope.sender();
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      membership.recordHeartbeat(sender, heartbeat);
      membership.reachablePeer(sender).ifPresent(configuration::queryIfNewer);
    } else if (message instanceof PeerMessage.Forward forward) {
      requests.receiveForwarded(sender, forward);
    } else if (message instanceof PeerMessage.ForwardDeclined declined) {
      requests.onForwardDeclined(sender, declined);
    } else if (message instanceof PeerMessage.ForwardAnswered answered) {
      requests.onForwardAnswered(sender, answered);
    } else if (message instanceof PeerMessage.ForwardQuery query) {
      forwarder.onForwardQuery(sender, query);
    } else if (message instanceof PeerMessage.ConfigurationQuery) {
      configuration.onConfigurationQuery(sender);
    } else if (message instanceof PeerMessage.ConfigurationOffered offer) {
      configuration.onConfigurationOffered(offer);
    } else if (message instanceof PeerMessage.WorkerReleased released) {
      pool.onReleasedByPeer(released.worker());
    } else if (message instanceof PeerMessage.ReserveTasks ask) {
      gangs.onReserveTasks(sender, ask);
    } else if (message instanceof PeerMessage.TasksReserved reserved) {
      gangs.onTasksReserved(sender, reserved);
    } else if (message instanceof PeerMessage.ReservationCancelled cancelled) {
      gangs.onReservationCancelled(cancelled);
    }
  }

  private void streamRead(Event.StreamRead read) {
    Optional<Integer> index = streams.indexOf(read.stream());
    boolean known = index.map(each -> streams.workStream(each).isInitialized()).orElse(true);
    boolean gap =
        index
            .map(each -> read.firstRetained() > streams.workStream(each).nextOffset())
            .orElse(false);
    List<AppliedRecord> applied = streams.applyRecords(read);
    configuration.applyFromLog();
    boolean restored = !known || gap;
    if (restored) {
      index.ifPresent(open::rebuild);
    }
    for (AppliedRecord each : applied) {
      if (each.valid() && each.record() instanceof TasksClaimed claim) {
        gangs.onTasksClaimed(claim);
      }
      if (each.valid()) {
        noteOwner(read.stream(), each);
      }
    }
    if (!restored) {
      attempts.onRecordsApplied(applied);
    }
    keys.onRecordsApplied(applied);
    jobs.onRecordsApplied(applied);
    tracker.onRecordsApplied(applied);
  }

  private void noteOwner(StreamName stream, AppliedRecord each) {
    if (each.record() instanceof StreamOwned owned) {
      context.recordTimelineEvent(TimelineKind.STREAM_OWNED, stream, owned.failureDomain());
    }
  }

  private void drain() {
    if (context.isDraining()) {
      return;
    }
    context.startDraining();
    context.recordTimelineEvent(
        TimelineKind.DRAIN_STARTED, context.self(), registry.activeCount() + " requests");
    membership.peers().forEach(this::sendHeartbeat);
  }

  private void continueDraining() {
    boolean idle =
        context.openHandleCount() == 0
            && registry.waitingRecipientCount() == 0
            && dispatcher.waitingCount() == 0
            && batch.isIdle()
            && gangs.isIdle()
            && attempts.isIdle()
            && keys.isIdle();
    if (!idle) {
      return;
    }
    pool.releaseIdleLeases();
    if (!pool.hasOpenLeases() && !drainedSaid) {
      drainedSaid = true;
      context.recordTimelineEvent(
          TimelineKind.DRAIN_ENDED, context.self(), "nothing left in flight");
      context.emit(new Effect.Drained());
    }
  }

  private StatusView status() {
    List<String> heard = new ArrayList<>();
    for (Membership.Peer peer : membership.peers()) {
      if (peer.isReachable(context.now(), context.settings())) {
        heard.add(peer.name());
      }
    }
    List<StatusView.WorkerLine> lines = new ArrayList<>();
    int suspects = 0;
    for (PooledWorker worker : pool.workers()) {
      suspects += worker.isClockSuspect() ? 1 : 0;
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
        configuration.version(),
        heard,
        lines,
        dispatcher.waitingCount(),
        registry.activeCount() - dispatcher.waitingCount(),
        jobs.unfinishedCount(),
        suspects);
  }
}
