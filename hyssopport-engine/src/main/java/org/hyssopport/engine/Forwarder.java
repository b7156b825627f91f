package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.Membership.Peer;
import org.hyssopport.engine.PeerMessage.Envelope;
import org.hyssopport.engine.PeerMessage.Forward;
import org.hyssopport.engine.PeerMessage.ForwardAnswered;
import org.hyssopport.engine.PeerMessage.ForwardDeclined;
import org.hyssopport.engine.PeerMessage.ForwardQuery;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;

/**
 * Forwards requests to peers, by default to the one with the most free slots, and to peers in this
 * failure domain first.
 *
 * <p>A forwarded request runs on the workers of the peer that receives it and is not forwarded
 * again, unless it was sent to the issuer of its ticket. The forwarding instance keeps the request
 * until the peer answers. If the answer is lost, it queries the peer; a peer that has not received
 * the request then declines it for good, so that a delayed message can't start it later.
 */
final class Forwarder {

  private static final Duration FIRST_QUERY_DELAY = Duration.ofMillis(400);
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(1);
  private static final int MAXIMUM_WAITING_TO_PROBE = 16;
  private static final Duration REMOTE_QUERY_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration QUERY_INTERVAL = Duration.ofMillis(250);

  private final EngineContext context;
  private final Membership membership;
  private final RequestRegistry registry;
  private final Map<AttemptId, OutstandingForward> outstanding = new LinkedHashMap<>();
  private final Map<AttemptId, ReceivedForward> received = new LinkedHashMap<>();
  private final Map<AttemptId, RemoteQuery> remoteQueries = new HashMap<>();
  private long rotation;
  private Instant nextProbe = Instant.EPOCH;
  private Instant nextCheck = Instant.EPOCH;

  Forwarder(EngineContext context, Membership membership, RequestRegistry registry) {
    this.context = context;
    this.membership = membership;
    this.registry = registry;
  }

  /**
   * Forwards a request to a peer that appears to have a free slot, or, while few requests wait, to
   * the next peer of this domain in turn, since the free slots that peers reported may be out of
   * date. Returns whether the request was sent.
   */
  boolean forward(Request request, Lane lane, int waiting) {
    if (!request.mayBeForwarded()) {
      return false;
    }
    Optional<Peer> chosen = choose(request, lane, waiting);
    chosen.ifPresent(peer -> send(request, peer));
    return chosen.isPresent();
  }

  private Optional<Peer> choose(Request request, Lane lane, int waiting) {
    List<Peer> usable =
        membership.peers().stream()
            .filter(peer -> peer.isReachable(context.now(), context.settings()))
            .filter(peer -> !peer.isDraining() && !request.avoids(peer.name()))
            .toList();
    List<Peer> peersInDomain =
        usable.stream().filter(peer -> peer.domain().equals(context.failureDomain())).toList();
    rotation++;
    Forwarding forwarding = context.settings().policies().forwarding();
    return forwarding
        .choose(peersInDomain, lane, rotation)
        .or(() -> forwarding.choose(usable, lane, rotation))
        .or(() -> probe(forwarding, peersInDomain, lane, waiting));
  }

  private Optional<Peer> probe(
      Forwarding forwarding, List<Peer> peersInDomain, Lane lane, int waiting) {
    boolean due = !context.now().isBefore(nextProbe);
    if (forwarding != Forwarding.HEADROOM || waiting > MAXIMUM_WAITING_TO_PROBE || !due) {
      return Optional.empty();
    }
    nextProbe = context.now().plus(PROBE_INTERVAL);
    return Forwarding.IN_TURN.choose(peersInDomain, lane, rotation);
  }

  private void send(Request request, Peer peer) {
    EntryId id = peer.id().orElseThrow();
    AttemptId attempt = request.recordSend(id);
    peer.decrementFreeSlots();
    context.recordTimelineEvent(TimelineKind.REQUEST_FORWARDED, attempt, id);
    Forward message = new Forward(attempt, withoutTicket(request.serviceRequest()), false);
    trackOutstanding(attempt, id, message);
    emit(peer, message);
  }

  private static ServiceRequest withoutTicket(ServiceRequest serviceRequest) {
    return new ServiceRequest(
        serviceRequest.service(),
        serviceRequest.deadline(),
        serviceRequest.repeatable(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        serviceRequest.body());
  }

  /**
   * Sends a request to the issuer of its ticket if that incarnation is reachable; returns whether
   * it was sent.
   */
  boolean forwardToIssuer(Request request, EntryId issuer) {
    Optional<Peer> peer = membership.reachablePeer(issuer);
    if (peer.isEmpty()) {
      return false;
    }
    AttemptId attempt = request.recordSend(issuer);
    request.markMayHaveRun();
    context.recordTimelineEvent(TimelineKind.REQUEST_FORWARDED, attempt, issuer);
    Forward message = new Forward(attempt, request.serviceRequest(), true);
    trackOutstanding(attempt, issuer, message);
    emit(peer.get(), message);
    return true;
  }

  /**
   * Queries the instance that issued a request id for the outcome if that incarnation is reachable;
   * returns whether it was queried.
   */
  boolean queryIssuer(long handle, String requestId, EntryId issuer) {
    Optional<Peer> peer = membership.reachablePeer(issuer);
    peer.ifPresent(
        found -> {
          AttemptId query = new AttemptId(requestId, 0);
          Instant deadline = context.now().plus(REMOTE_QUERY_TIMEOUT);
          remoteQueries.merge(
              query,
              new RemoteQuery(List.of(handle), deadline),
              (known, added) -> known.withHandle(handle));
          emit(found, new ForwardQuery(query));
        });
    return peer.isPresent();
  }

  private void trackOutstanding(AttemptId attempt, EntryId peer, Forward message) {
    Instant next = context.now().plus(FIRST_QUERY_DELAY);
    outstanding.put(attempt, new OutstandingForward(peer, message, next));
  }

  private void emit(Peer peer, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(peer.address(), new Envelope(context.self(), peer.id(), message)));
  }

  private void emit(EntryId receiver, PeerMessage message) {
    membership.reachablePeer(receiver).ifPresent(peer -> emit(peer, message));
  }

  /** Handles a declined request, and returns it if the attempt is still its current one. */
  Optional<Request> onForwardDeclined(EntryId sender, ForwardDeclined message) {
    membership
        .reachablePeer(sender)
        .ifPresent(peer -> peer.setFreeSlots(message.freeShortSlots(), message.freeLongSlots()));
    String requestId = message.attempt().task();
    if (replyToQuery(message.attempt(), Answers.notFound("request", requestId))) {
      return Optional.empty();
    }
    outstanding.remove(message.attempt());
    return requestAtPeer(message.attempt(), sender);
  }

  /**
   * Handles a peer's outcome, and returns the request if the attempt is still its current one, or
   * if the outcome is {@code DONE} and the request is still active.
   */
  Optional<Request> onForwardAnswered(EntryId sender, ForwardAnswered message) {
    Answer answer =
        new Answer.RequestAnswer(
            message.attempt().task(), message.outcome(), message.reason(), message.body());
    if (replyToQuery(message.attempt(), answer)) {
      return Optional.empty();
    }
    if (message.outcome() != Outcome.UNKNOWN && outstanding.remove(message.attempt()) != null) {
      membership.reachablePeer(sender).ifPresent(Peer::incrementFreeSlots);
    }
    if (message.outcome() == Outcome.DONE) {
      return registry.active(message.attempt().task());
    }
    return requestAtPeer(message.attempt(), sender);
  }

  private boolean replyToQuery(AttemptId attempt, Answer answer) {
    RemoteQuery query = remoteQueries.remove(attempt);
    if (query != null) {
      query.handles().forEach(handle -> context.reply(handle, answer));
    }
    return query != null;
  }

  private void expireQueries() {
    List<AttemptId> expired =
        remoteQueries.entrySet().stream()
            .filter(entry -> context.now().isAfter(entry.getValue().deadline()))
            .map(Map.Entry::getKey)
            .toList();
    for (AttemptId attempt : expired) {
      replyToQuery(attempt, Answers.unknownOutcome(attempt.task(), Reason.ISSUER_UNREACHABLE));
    }
  }

  private Optional<Request> requestAtPeer(AttemptId attempt, EntryId sender) {
    return registry
        .active(attempt.task())
        .filter(request -> request.currentAttempt().equals(attempt))
        .filter(request -> request.phase() == Request.Phase.AT_PEER)
        .filter(request -> request.peer().equals(Optional.of(sender)));
  }

  /**
   * Records a request that a peer forwarded, before it is started here, and declines it again if it
   * was declined before.
   *
   * @return false if the attempt was received or declined before
   */
  boolean acceptIfNew(EntryId sender, Forward message) {
    ReceivedForward earlier = received.get(message.attempt());
    if (earlier == null) {
      Instant deadline = message.request().deadline().orElse(context.now());
      Instant evictAt = deadline.plus(context.settings().answerRetention());
      received.put(message.attempt(), new ReceivedForward(Optional.empty(), evictAt));
      return true;
    }
    if (earlier.requestId().isEmpty()) {
      decline(sender, message.attempt(), 0, 0);
    }
    return false;
  }

  void recordStarted(Forward message, String requestId) {
    ReceivedForward accepted = received.get(message.attempt());
    received.put(
        message.attempt(), new ReceivedForward(Optional.of(requestId), accepted.evictAt()));
  }

  void decline(EntryId sender, AttemptId attempt, int freeShortSlots, int freeLongSlots) {
    emit(sender, new ForwardDeclined(attempt, freeShortSlots, freeLongSlots));
  }

  /**
   * Answers a peer's query for an outcome. An attempt that was not started here is declined, and
   * can no longer be started.
   */
  void onForwardQuery(EntryId sender, ForwardQuery query) {
    if (query.attempt().number() == 0) {
      answerByRequestId(sender, query.attempt());
      return;
    }
    ReceivedForward earlier = received.get(query.attempt());
    if (earlier == null || earlier.requestId().isEmpty()) {
      Instant evictAt = context.now().plus(context.settings().answerRetention());
      received.put(query.attempt(), new ReceivedForward(Optional.empty(), evictAt));
      decline(sender, query.attempt(), 0, 0);
      return;
    }
    registry
        .finished(earlier.requestId().get())
        .ifPresent(answer -> emit(sender, toMessage(query.attempt(), answer)));
  }

  private void answerByRequestId(EntryId sender, AttemptId query) {
    Optional<Answer.RequestAnswer> answer =
        registry
            .finished(query.task())
            .or(() -> registry.active(query.task()).map(request -> unfinished(query.task())));
    answer.ifPresentOrElse(
        known -> emit(sender, toMessage(query, known)), () -> decline(sender, query, 0, 0));
  }

  private static Answer.RequestAnswer unfinished(String requestId) {
    return new Answer.RequestAnswer(
        requestId, Outcome.UNKNOWN, Reason.UNFINISHED, Optional.empty());
  }

  private static ForwardAnswered toMessage(AttemptId attempt, Answer.RequestAnswer answer) {
    return new ForwardAnswered(attempt, answer.outcome(), answer.reason(), answer.body(), 0);
  }

  /**
   * Queries the peers whose answers are overdue, and returns the requests whose peer can no longer
   * be reached. A request that was sent to the issuer of its ticket is sent again instead of
   * queried, since the ticket lets it run at most once.
   */
  List<Request> tick() {
    if (context.now().isBefore(nextCheck)) {
      return List.of();
    }
    nextCheck = context.now().plus(QUERY_INTERVAL.dividedBy(5));
    expireQueries();
    received.values().removeIf(known -> context.now().isAfter(known.evictAt()));
    List<Request> withUnreachablePeer = new ArrayList<>();
    Iterator<Map.Entry<AttemptId, OutstandingForward>> entries = outstanding.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<AttemptId, OutstandingForward> entry = entries.next();
      Optional<Request> request = registry.active(entry.getKey().task());
      if (request.isEmpty()) {
        entries.remove();
      } else if (!context.now().isBefore(entry.getValue().nextQuery())) {
        queryAgain(entry, request.get(), withUnreachablePeer);
      }
    }
    return withUnreachablePeer;
  }

  private void queryAgain(
      Map.Entry<AttemptId, OutstandingForward> entry,
      Request request,
      List<Request> withUnreachablePeer) {
    OutstandingForward outstandingForward = entry.getValue();
    entry.setValue(outstandingForward.withNextQuery(context.now().plus(QUERY_INTERVAL)));
    Optional<Peer> peer = membership.reachablePeer(outstandingForward.peer());
    boolean current = request.currentAttempt().equals(entry.getKey());
    if (peer.isEmpty() && current && request.phase() == Request.Phase.AT_PEER) {
      request.markMayHaveRun();
      request.avoid(outstandingForward.peer().name());
      withUnreachablePeer.add(request);
    } else if (peer.isPresent() && outstandingForward.message().byTicket()) {
      emit(peer.get(), outstandingForward.message());
    } else {
      peer.ifPresent(found -> emit(found, new ForwardQuery(entry.getKey())));
    }
  }

  /**
   * A forwarded request that has not been answered yet.
   *
   * @param peer the peer to which it was forwarded
   * @param message the message that forwarded it
   * @param nextQuery when to query the peer again
   */
  private record OutstandingForward(EntryId peer, Forward message, Instant nextQuery) {

    OutstandingForward withNextQuery(Instant instant) {
      return new OutstandingForward(peer, message, instant);
    }
  }

  /**
   * Callers that wait for an answer of the instance that issued a request id.
   *
   * @param handles identify the calls that wait for their reply
   * @param deadline when they are answered that the outcome is unknown
   */
  private record RemoteQuery(List<Long> handles, Instant deadline) {

    RemoteQuery withHandle(long handle) {
      List<Long> extended = new ArrayList<>(handles);
      extended.add(handle);
      return new RemoteQuery(List.copyOf(extended), deadline);
    }
  }

  /**
   * A request that a peer forwarded to this instance.
   *
   * @param requestId the id of the request that was started for it here, or nothing if none was
   * @param evictAt when this entry is removed
   */
  private record ReceivedForward(Optional<String> requestId, Instant evictAt) {}
}
