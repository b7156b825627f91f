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
 * Passes requests on to the holder with the most free slots, in this failure domain first.
 *
 * <p>A request crosses one hop at most. The asker keeps it until the peer answers; a lost answer is
 * asked for again, and a peer that never saw the request refuses it from then on.
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
  private long turn;
  private Instant nextProbe = Instant.EPOCH;
  private Instant nextCheck = Instant.EPOCH;

  Forwarder(EngineContext context, Membership membership, RequestRegistry registry) {
    this.context = context;
    this.membership = membership;
    this.registry = registry;
  }

  /**
   * Passes a request on if some peer seems to have a free slot, or, while few requests wait, to one
   * peer in turn, since what the peers told may be out of date.
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
            .filter(peer -> peer.isHeard(context.now(), context.settings()))
            .filter(peer -> !peer.isDraining() && !request.avoids(peer.name()))
            .toList();
    List<Peer> near =
        usable.stream().filter(peer -> peer.domain().equals(context.failureDomain())).toList();
    turn++;
    Forwarding forwarding = context.settings().policies().forwarding();
    return forwarding
        .choose(near, lane, turn)
        .or(() -> forwarding.choose(usable, lane, turn))
        .or(() -> probe(forwarding, near, lane, waiting));
  }

  private Optional<Peer> probe(Forwarding forwarding, List<Peer> near, Lane lane, int waiting) {
    boolean due = !context.now().isBefore(nextProbe);
    if (forwarding != Forwarding.HEADROOM || waiting > MAXIMUM_WAITING_TO_PROBE || !due) {
      return Optional.empty();
    }
    nextProbe = context.now().plus(PROBE_INTERVAL);
    return Forwarding.IN_TURN.choose(near, lane, turn);
  }

  private void send(Request request, Peer peer) {
    EntryId id = peer.id().orElseThrow();
    AttemptId attempt = request.recordSend(id);
    peer.takeSlot();
    context.recordTimelineEvent(TimelineKind.REQUEST_FORWARDED, attempt, id);
    Forward message = new Forward(attempt, withoutTicket(request.serviceRequest()), false);
    track(attempt, id, message);
    emit(peer, message);
  }

  private static ServiceRequest withoutTicket(ServiceRequest stated) {
    return new ServiceRequest(
        stated.service(),
        stated.deadline(),
        stated.repeatable(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        stated.body());
  }

  /** Sends a request to the issuer of its ticket, if that incarnation is heard. */
  boolean forwardToIssuer(Request request, EntryId issuer) {
    Optional<Peer> peer = membership.peer(issuer);
    if (peer.isEmpty()) {
      return false;
    }
    AttemptId attempt = request.recordSend(issuer);
    request.markMayHaveRun();
    context.recordTimelineEvent(TimelineKind.REQUEST_FORWARDED, attempt, issuer);
    Forward message = new Forward(attempt, request.serviceRequest(), true);
    track(attempt, issuer, message);
    emit(peer.get(), message);
    return true;
  }

  /** Asks the instance that gave out a request id for the outcome. */
  boolean queryIssuer(long handle, String requestId, EntryId issuer) {
    Optional<Peer> peer = membership.peer(issuer);
    peer.ifPresent(
        found -> {
          AttemptId query = new AttemptId(requestId, 0);
          Instant deadline = context.now().plus(REMOTE_QUERY_TIMEOUT);
          remoteQueries.merge(
              query,
              new RemoteQuery(List.of(handle), deadline),
              (known, added) -> known.joinedBy(handle));
          emit(found, new ForwardQuery(query));
        });
    return peer.isPresent();
  }

  private void track(AttemptId attempt, EntryId peer, Forward message) {
    Instant next = context.now().plus(FIRST_QUERY_DELAY);
    outstanding.put(attempt, new OutstandingForward(peer, message, next));
  }

  private void emit(Peer peer, PeerMessage message) {
    context.emit(
        new Effect.SendToPeer(peer.address(), new Envelope(context.self(), peer.id(), message)));
  }

  private void emit(EntryId receiver, PeerMessage message) {
    membership.peer(receiver).ifPresent(peer -> emit(peer, message));
  }

  /** Takes a declined request back, and returns it if it is still the asker's current attempt. */
  Optional<Request> declined(EntryId sender, ForwardDeclined message) {
    membership
        .peer(sender)
        .ifPresent(peer -> peer.update(message.freeShortSlots(), message.freeLongSlots()));
    String requestId = message.attempt().task();
    if (answerQuery(message.attempt(), Answers.notFound("request", requestId))) {
      return Optional.empty();
    }
    outstanding.remove(message.attempt());
    return currentAt(message.attempt(), sender);
  }

  /** Takes a peer's outcome, and returns the request if that is still the current attempt. */
  Optional<Request> answered(EntryId sender, ForwardAnswered message) {
    Answer told =
        new Answer.RequestAnswer(
            message.attempt().task(), message.outcome(), message.reason(), message.body());
    if (answerQuery(message.attempt(), told)) {
      return Optional.empty();
    }
    if (message.outcome() != Outcome.UNKNOWN && outstanding.remove(message.attempt()) != null) {
      membership.peer(sender).ifPresent(Peer::returnSlot);
    }
    if (message.outcome() == Outcome.DONE) {
      return registry.active(message.attempt().task());
    }
    return currentAt(message.attempt(), sender);
  }

  private boolean answerQuery(AttemptId attempt, Answer answer) {
    RemoteQuery query = remoteQueries.remove(attempt);
    if (query != null) {
      query.handles().forEach(handle -> context.reply(handle, answer));
    }
    return query != null;
  }

  private void answerLateQueries() {
    List<AttemptId> late =
        remoteQueries.entrySet().stream()
            .filter(entry -> context.now().isAfter(entry.getValue().deadline()))
            .map(Map.Entry::getKey)
            .toList();
    for (AttemptId attempt : late) {
      answerQuery(attempt, Answers.unknown(attempt.task(), Reason.ISSUER_UNREACHABLE));
    }
  }

  private Optional<Request> currentAt(AttemptId attempt, EntryId sender) {
    return registry
        .active(attempt.task())
        .filter(request -> request.currentAttempt().equals(attempt))
        .filter(request -> request.phase() == Request.Phase.AT_PEER)
        .filter(request -> request.peer().equals(Optional.of(sender)));
  }

  /**
   * Notes a request that a peer passed on, before it is started here.
   *
   * @return false if it was seen or refused before
   */
  boolean accept(EntryId sender, Forward message) {
    ReceivedForward known = received.get(message.attempt());
    if (known == null) {
      Instant deadline = message.request().deadline().orElse(context.now());
      Instant forgetAt = deadline.plus(context.settings().answersKept());
      received.put(message.attempt(), new ReceivedForward(Optional.empty(), forgetAt));
      return true;
    }
    if (known.requestId().isEmpty()) {
      decline(sender, message.attempt(), 0, 0);
    }
    return false;
  }

  void started(Forward message, String requestId) {
    ReceivedForward known = received.get(message.attempt());
    received.put(message.attempt(), new ReceivedForward(Optional.of(requestId), known.forgetAt()));
  }

  void decline(EntryId sender, AttemptId attempt, int freeShortSlots, int freeLongSlots) {
    emit(sender, new ForwardDeclined(attempt, freeShortSlots, freeLongSlots));
  }

  /** Answers a peer that asks again. */
  void queried(EntryId sender, ForwardQuery query) {
    if (query.attempt().number() == 0) {
      answerByRequestId(sender, query.attempt());
      return;
    }
    ReceivedForward known = received.get(query.attempt());
    if (known == null || known.requestId().isEmpty()) {
      Instant forgetAt = context.now().plus(context.settings().answersKept());
      received.put(query.attempt(), new ReceivedForward(Optional.empty(), forgetAt));
      decline(sender, query.attempt(), 0, 0);
      return;
    }
    registry
        .finished(known.requestId().get())
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

  /** Asks again for outstanding answers; returns the requests whose peer is gone. */
  List<Request> tick() {
    if (context.now().isBefore(nextCheck)) {
      return List.of();
    }
    nextCheck = context.now().plus(QUERY_INTERVAL.dividedBy(5));
    answerLateQueries();
    received.values().removeIf(known -> context.now().isAfter(known.forgetAt()));
    List<Request> orphaned = new ArrayList<>();
    Iterator<Map.Entry<AttemptId, OutstandingForward>> entries = outstanding.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<AttemptId, OutstandingForward> entry = entries.next();
      Optional<Request> request = registry.active(entry.getKey().task());
      if (request.isEmpty()) {
        entries.remove();
      } else if (!context.now().isBefore(entry.getValue().nextQuery())) {
        askAgain(entry, request.get(), orphaned);
      }
    }
    return orphaned;
  }

  private void askAgain(
      Map.Entry<AttemptId, OutstandingForward> entry, Request request, List<Request> orphaned) {
    OutstandingForward waiting = entry.getValue();
    entry.setValue(waiting.nextAt(context.now().plus(QUERY_INTERVAL)));
    Optional<Peer> peer = membership.peer(waiting.peer());
    boolean current = request.currentAttempt().equals(entry.getKey());
    if (peer.isEmpty() && current && request.phase() == Request.Phase.AT_PEER) {
      request.markMayHaveRun();
      request.avoid(waiting.peer().name());
      orphaned.add(request);
    } else if (peer.isPresent() && waiting.message().byTicket()) {
      emit(peer.get(), waiting.message());
    } else {
      peer.ifPresent(found -> emit(found, new ForwardQuery(entry.getKey())));
    }
  }

  /**
   * A request that was passed on and not answered yet.
   *
   * @param peer who has it
   * @param message the message that passed it on
   * @param nextQuery when to ask again
   */
  private record OutstandingForward(EntryId peer, Forward message, Instant nextQuery) {

    OutstandingForward nextAt(Instant instant) {
      return new OutstandingForward(peer, message, instant);
    }
  }

  /**
   * Callers that wait for the issuer's answer.
   *
   * @param handles the callers
   * @param deadline until when they wait
   */
  private record RemoteQuery(List<Long> handles, Instant deadline) {

    RemoteQuery joinedBy(long handle) {
      List<Long> longer = new ArrayList<>(handles);
      longer.add(handle);
      return new RemoteQuery(List.copyOf(longer), deadline);
    }
  }

  /**
   * A request that a peer passed on.
   *
   * @param requestId the request that runs for it here, or nothing if it is refused
   * @param forgetAt when it may be forgotten
   */
  private record ReceivedForward(Optional<String> requestId, Instant forgetAt) {}
}
