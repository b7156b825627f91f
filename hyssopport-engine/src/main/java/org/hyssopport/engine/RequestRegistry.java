package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.hyssopport.engine.Answer.RequestAnswer;

/** All requests of this instance, their outcomes, and who is told. */
final class RequestRegistry {

  private static final int MAXIMUM_FINISHED_REQUESTS = 20_000;
  private static final int MAXIMUM_RETAINED_CHARACTERS = 4 * 1024 * 1024;

  private final EngineContext context;
  private final Membership membership;
  private final Map<String, Request> active = new HashMap<>();
  private final LinkedHashMap<String, FinishedRequest> finished = new LinkedHashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparing(Timer::instant));
  private final List<Consumer<Request>> finishListeners = new ArrayList<>();
  private int retainedCharacters;
  private int openCallers;

  RequestRegistry(EngineContext context, Membership membership) {
    this.context = context;
    this.membership = membership;
  }

  /** Calls a listener with every request that has its final outcome. */
  void onFinish(Consumer<Request> listener) {
    finishListeners.add(listener);
  }

  void add(Request request) {
    active.put(request.id(), request);
    timers.add(new Timer(request.deadline(), request.id()));
  }

  Optional<Request> active(String id) {
    return Optional.ofNullable(active.get(id));
  }

  Optional<RequestAnswer> finished(String id) {
    return Optional.ofNullable(finished.get(id)).map(FinishedRequest::answer);
  }

  int activeCount() {
    return active.size();
  }

  /** Returns how many askers still wait for an answer. */
  int openAskers() {
    return openCallers;
  }

  void attach(Request request, AnswerRecipient asker) {
    request.askers().add(asker);
    openCallers++;
  }

  /** Makes an outcome final and tells everyone who waits. */
  void finish(Request request, Outcome outcome, Reason reason, Optional<String> body) {
    if (request.phase() == Request.Phase.FINISHED) {
      return;
    }
    request.moveTo(Request.Phase.FINISHED);
    active.remove(request.id());
    RequestAnswer answer = new RequestAnswer(request.id(), outcome, reason, body);
    remember(request, answer);
    tellAll(request, answer);
    finishListeners.forEach(listener -> listener.accept(request));
  }

  /** Tells everyone who waits without making the outcome final. */
  void tellAll(Request request, RequestAnswer answer) {
    for (AnswerRecipient asker : request.askers()) {
      openCallers--;
      tell(request, asker, answer);
    }
    if (!request.askers().isEmpty()) {
      String detail = answer.outcome() + ": " + answer.reason();
      context.recordTimelineEvent(TimelineKind.REQUEST_ANSWERED, request.id(), detail);
    }
    request.askers().clear();
  }

  private void tell(Request request, AnswerRecipient asker, RequestAnswer answer) {
    if (asker instanceof AnswerRecipient.Caller caller) {
      context.reply(caller.handle(), answer);
      return;
    }
    AnswerRecipient.ForwardingPeer peerAsker = (AnswerRecipient.ForwardingPeer) asker;
    long runMillis =
        request
            .send(request.attempts())
            .map(send -> Duration.between(send.sentAt(), context.now()).toMillis())
            .orElse(0L);
    PeerMessage.ForwardAnswered message =
        new PeerMessage.ForwardAnswered(
            peerAsker.attempt(), answer.outcome(), answer.reason(), answer.body(), runMillis);
    membership
        .peer(peerAsker.peer())
        .ifPresent(
            peer ->
                context.emit(
                    new Effect.SendToPeer(
                        peer.address(),
                        new PeerMessage.Envelope(
                            context.self(), Optional.of(peerAsker.peer()), message))));
  }

  private void remember(Request request, RequestAnswer answer) {
    Instant forgetAt = context.now().plus(context.settings().answersKept());
    if (request.stated().ticket().isPresent()) {
      forgetAt = context.now().plus(context.settings().ticketLength());
    }
    finished.put(request.id(), new FinishedRequest(answer, forgetAt));
    retainedCharacters += answer.body().map(String::length).orElse(0);
    forget();
  }

  private void forget() {
    var oldest = finished.values().iterator();
    while (oldest.hasNext()) {
      FinishedRequest entry = oldest.next();
      boolean tooMany =
          finished.size() > MAXIMUM_FINISHED_REQUESTS
              || retainedCharacters > MAXIMUM_RETAINED_CHARACTERS;
      if (!tooMany && context.now().isBefore(entry.forgetAt())) {
        return;
      }
      retainedCharacters -= entry.answer().body().map(String::length).orElse(0);
      oldest.remove();
    }
  }

  /** Returns the active requests whose deadline has passed, each once. */
  List<Request> takeOverdue() {
    List<Request> overdue = new ArrayList<>();
    while (!timers.isEmpty() && !context.now().isBefore(timers.peek().instant())) {
      Request request = active.get(timers.remove().requestId());
      if (request != null) {
        overdue.add(request);
      }
    }
    return overdue;
  }

  /** Calls the request's timer once more at a later moment. */
  void checkAgain(Request request, Instant instant) {
    timers.add(new Timer(instant, request.id()));
  }

  /**
   * A final outcome that is still remembered.
   *
   * @param answer the outcome
   * @param forgetAt when it may be forgotten
   */
  private record FinishedRequest(RequestAnswer answer, Instant forgetAt) {}

  /**
   * A moment at which a request is looked at.
   *
   * @param instant the moment
   * @param requestId the request
   */
  private record Timer(Instant instant, String requestId) {}
}
