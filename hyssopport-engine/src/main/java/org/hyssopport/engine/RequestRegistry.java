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

/** Holds the active requests of this instance, their recipients, and recent final answers. */
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
  private int waitingRecipients;

  RequestRegistry(EngineContext context, Membership membership) {
    this.context = context;
    this.membership = membership;
  }

  /** Registers a listener that is called with every request whose outcome becomes final. */
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

  /** Returns the number of callers and peers that wait for an answer. */
  int waitingRecipientCount() {
    return waitingRecipients;
  }

  void addRecipient(Request request, AnswerRecipient recipient) {
    request.recipients().add(recipient);
    waitingRecipients++;
  }

  /** Makes the outcome of a request final and sends the answer to every waiting recipient. */
  void finish(Request request, Outcome outcome, Reason reason, Optional<String> body) {
    if (request.phase() == Request.Phase.FINISHED) {
      return;
    }
    request.moveTo(Request.Phase.FINISHED);
    active.remove(request.id());
    RequestAnswer answer = new RequestAnswer(request.id(), outcome, reason, body);
    retain(request, answer);
    sendAnswers(request, answer);
    finishListeners.forEach(listener -> listener.accept(request));
  }

  /** Sends an answer to every waiting recipient without making the outcome final. */
  void sendAnswers(Request request, RequestAnswer answer) {
    for (AnswerRecipient recipient : request.recipients()) {
      waitingRecipients--;
      sendAnswer(request, recipient, answer);
    }
    if (!request.recipients().isEmpty()) {
      String detail = answer.outcome() + ": " + answer.reason();
      context.recordTimelineEvent(TimelineKind.REQUEST_ANSWERED, request.id(), detail);
    }
    request.recipients().clear();
  }

  private void sendAnswer(Request request, AnswerRecipient recipient, RequestAnswer answer) {
    if (recipient instanceof AnswerRecipient.Caller caller) {
      context.reply(caller.handle(), answer);
      return;
    }
    AnswerRecipient.ForwardingPeer forwardingPeer = (AnswerRecipient.ForwardingPeer) recipient;
    long runMillis =
        request
            .workerSend(request.attempts())
            .map(send -> Duration.between(send.sentAt(), context.now()).toMillis())
            .orElse(0L);
    PeerMessage.ForwardAnswered message =
        new PeerMessage.ForwardAnswered(
            forwardingPeer.attempt(), answer.outcome(), answer.reason(), answer.body(), runMillis);
    membership
        .reachablePeer(forwardingPeer.peer())
        .ifPresent(
            peer ->
                context.emit(
                    new Effect.SendToPeer(
                        peer.address(),
                        new PeerMessage.Envelope(
                            context.self(), Optional.of(forwardingPeer.peer()), message))));
  }

  private void retain(Request request, RequestAnswer answer) {
    Instant evictAt = context.now().plus(context.settings().answerRetention());
    if (request.serviceRequest().ticket().isPresent()) {
      evictAt = context.now().plus(context.settings().ticketLength());
    }
    finished.put(request.id(), new FinishedRequest(answer, evictAt));
    retainedCharacters += answer.body().map(String::length).orElse(0);
    evictFinished();
  }

  private void evictFinished() {
    var iterator = finished.values().iterator();
    while (iterator.hasNext()) {
      FinishedRequest entry = iterator.next();
      boolean tooMany =
          finished.size() > MAXIMUM_FINISHED_REQUESTS
              || retainedCharacters > MAXIMUM_RETAINED_CHARACTERS;
      if (!tooMany && context.now().isBefore(entry.evictAt())) {
        return;
      }
      retainedCharacters -= entry.answer().body().map(String::length).orElse(0);
      iterator.remove();
    }
  }

  /**
   * Removes the timers that have expired, and returns the active request of each. The first timer
   * of a request expires at its deadline.
   */
  List<Request> drainOverdue() {
    List<Request> overdue = new ArrayList<>();
    while (!timers.isEmpty() && !context.now().isBefore(timers.peek().instant())) {
      Request request = active.get(timers.remove().requestId());
      if (request != null) {
        overdue.add(request);
      }
    }
    return overdue;
  }

  /** Schedules another timer for a request, to be returned by {@link #drainOverdue()}. */
  void scheduleTimer(Request request, Instant instant) {
    timers.add(new Timer(instant, request.id()));
  }

  /**
   * A finished request whose answer is retained.
   *
   * @param answer the answer with the final outcome
   * @param evictAt when the answer may be evicted
   */
  private record FinishedRequest(RequestAnswer answer, Instant evictAt) {}

  /**
   * A time at which a request becomes overdue.
   *
   * @param instant the time
   * @param requestId the id of the request
   */
  private record Timer(Instant instant, String requestId) {}
}
