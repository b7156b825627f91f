package org.hyssopport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Answer.RefusalKind;
import org.hyssopport.engine.PeerMessage.Forward;
import org.hyssopport.engine.PeerMessage.ForwardAnswered;
import org.hyssopport.engine.PeerMessage.ForwardDeclined;
import org.hyssopport.engine.TicketIssuer.Ticket;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Finding;
import org.hyssopport.policy.WorkClass;
import org.hyssopport.policy.WorkKind;

/** Takes requests in, from callers and from peers. */
final class RequestHandler {

  private final EngineContext context;
  private final RequestRegistry registry;
  private final RequestDispatcher dispatcher;
  private final Forwarder forwarder;
  private final TicketIssuer tickets;
  private final IdempotencyKeyManager keys;
  private final WorkerPool pool;

  RequestHandler(
      EngineContext context,
      RequestRegistry registry,
      RequestDispatcher dispatcher,
      Forwarder forwarder,
      IdempotencyKeyManager keys,
      WorkerPool pool) {
    this.context = context;
    this.registry = registry;
    this.dispatcher = dispatcher;
    this.forwarder = forwarder;
    this.keys = keys;
    this.pool = pool;
    this.tickets = new TicketIssuer(context);
  }

  void issueTicket(long handle) {
    context.reply(handle, tickets.issue());
  }

  void receive(long handle, ServiceRequest stated) {
    if (context.configuration().isEmpty()) {
      context.reply(handle, refusedHere(stated, Reason.NOT_READY));
      return;
    }
    Configuration configuration = context.configuration().get();
    List<Finding> findings = check(stated, configuration);
    if (!findings.isEmpty()) {
      boolean unknown = configuration.classNamed(stated.service()).isEmpty();
      RefusalKind kind = unknown ? RefusalKind.NOT_FOUND : RefusalKind.INVALID;
      context.reply(handle, new Answer.Refused(kind, findings));
      return;
    }
    WorkClass workClass = configuration.classNamed(stated.service()).orElseThrow();
    Instant deadline = stated.deadline().orElse(context.now().plus(workClass.patience()));
    ServiceRequest dated = stated.withDeadline(deadline);
    if (dated.ticket().isPresent()) {
      receiveTicket(new AnswerRecipient.Caller(handle), dated, workClass);
    } else if (dated.key().isPresent()) {
      receiveKey(handle, dated, workClass);
    } else {
      receivePlain(handle, dated, workClass);
    }
  }

  /** Returns the answer to a request that is not taken; a guarded one may have run elsewhere. */
  private Answer.RequestAnswer refusedHere(ServiceRequest stated, Reason reason) {
    String id = context.newId();
    return stated.runsAtMostOnce() ? Answers.unknown(id, reason) : Answers.notRun(id, reason);
  }

  private static List<Finding> check(ServiceRequest stated, Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    Optional<WorkClass> workClass = configuration.classNamed(stated.service());
    if (workClass.isEmpty()) {
      findings.add(new Finding("service", "is not known: " + stated.service()));
    } else if (workClass.get().kind() != WorkKind.SERVICE) {
      findings.add(new Finding("service", "is no service, but " + workClass.get().kind()));
    }
    if (stated.body().length() > configuration.limits().maximumBodyBytes()) {
      String limit = "is over " + configuration.limits().maximumBodyBytes() + " bytes";
      findings.add(new Finding("body", limit));
    }
    if (stated.key().isPresent() && stated.keyExpiry().isEmpty()) {
      findings.add(new Finding("keyExpiry", "is missing; a key needs it"));
    }
    if (stated.key().isPresent() && stated.ticket().isPresent()) {
      findings.add(new Finding("key", "can't be used together with a ticket"));
    }
    if (stated.repeatable() == stated.runsAtMostOnce()) {
      findings.add(
          new Finding("repeatable", "must be true without, and false with a ticket or a key"));
    }
    return findings;
  }

  private Optional<Reason> refusal(ServiceRequest stated) {
    if (context.isDraining()) {
      return Optional.of(Reason.DRAINING);
    }
    if (isLate(stated)) {
      return Optional.of(Reason.DEADLINE_PASSED);
    }
    return dispatcher.isFull() ? Optional.of(Reason.OVERLOADED) : Optional.empty();
  }

  private boolean isLate(ServiceRequest stated) {
    return stated.deadline().map(at -> !context.now().isBefore(at)).orElse(true);
  }

  private void receivePlain(long handle, ServiceRequest stated, WorkClass workClass) {
    Optional<Reason> refusal = refusal(stated);
    String id = context.newId();
    if (refusal.isPresent()) {
      context.reply(handle, Answers.notRun(id, refusal.get()));
      return;
    }
    Request request = open(id, stated, workClass);
    registry.addRecipient(request, new AnswerRecipient.Caller(handle));
    dispatcher.enqueue(request);
  }

  private Request open(String id, ServiceRequest stated, WorkClass workClass) {
    Request request = new Request(id, stated, workClass, true, context.now());
    context.recordTimelineEvent(TimelineKind.REQUEST_RECEIVED, id, workClass.name());
    registry.add(request);
    return request;
  }

  private void receiveTicket(AnswerRecipient asker, ServiceRequest stated, WorkClass workClass) {
    String text = stated.ticket().orElseThrow();
    Optional<Ticket> ticket = TicketIssuer.parse(text);
    if (ticket.isEmpty()) {
      tellOnce(asker, Answers.notRun(text, Reason.TICKET_INVALID), workClass, stated);
    } else if (ticket.get().issuer().equals(context.self())) {
      useOwnTicket(asker, ticket.get(), stated, workClass);
    } else {
      passToIssuer(asker, ticket.get().issuer(), stated, workClass);
    }
  }

  private void useOwnTicket(
      AnswerRecipient asker, Ticket ticket, ServiceRequest stated, WorkClass workClass) {
    String id = stated.ticket().orElseThrow();
    Optional<Request> running = registry.active(id);
    if (running.isPresent()) {
      registry.addRecipient(running.get(), asker);
      return;
    }
    Optional<Answer.RequestAnswer> known = registry.finished(id);
    if (known.isPresent()) {
      tellOnce(asker, known.get(), workClass, stated);
    } else if (!tickets.wasIssued(ticket)) {
      tellOnce(asker, Answers.notRun(id, Reason.TICKET_INVALID), workClass, stated);
    } else if (tickets.wasUsed(ticket) || context.now().isAfter(ticket.expiry())) {
      tellOnce(asker, Answers.unknown(id, Reason.TICKET_INVALID), workClass, stated);
    } else {
      runOwnTicket(asker, ticket, stated, workClass);
    }
  }

  private void runOwnTicket(
      AnswerRecipient asker, Ticket ticket, ServiceRequest stated, WorkClass workClass) {
    tickets.use(ticket);
    Request request = open(stated.ticket().orElseThrow(), stated, workClass);
    registry.addRecipient(request, asker);
    Optional<Reason> refusal = refusal(stated);
    if (refusal.isPresent()) {
      registry.finish(request, Outcome.NOT_RUN, refusal.get(), Optional.empty());
      return;
    }
    dispatcher.enqueue(request);
  }

  private void passToIssuer(
      AnswerRecipient asker, EntryId issuer, ServiceRequest stated, WorkClass workClass) {
    Request request = new Request(context.newId(), stated, workClass, false, context.now());
    boolean late = isLate(stated);
    if (late
        || asker instanceof AnswerRecipient.ForwardingPeer
        || !forwarder.forwardToIssuer(request, issuer)) {
      Reason reason = late ? Reason.DEADLINE_PASSED : Reason.ISSUER_UNREACHABLE;
      tellOnce(asker, Answers.unknown(request.id(), reason), workClass, stated);
      return;
    }
    registry.add(request);
    registry.addRecipient(request, asker);
  }

  private void tellOnce(
      AnswerRecipient asker,
      Answer.RequestAnswer answer,
      WorkClass workClass,
      ServiceRequest stated) {
    Request request = new Request(answer.requestId(), stated, workClass, false, context.now());
    registry.addRecipient(request, asker);
    registry.sendAnswers(request, answer);
  }

  private void receiveKey(long handle, ServiceRequest stated, WorkClass workClass) {
    Request request = new Request(context.newId(), stated, workClass, true, context.now());
    Instant latest = context.now().plus(context.settings().retention().dividedBy(2));
    if (stated.keyExpiry().orElseThrow().isAfter(latest)) {
      Finding finding = new Finding("keyExpiry", "must be at most half the log's retention away");
      context.reply(handle, new Answer.Refused(RefusalKind.INVALID, List.of(finding)));
      return;
    }
    if (!context.now().isBefore(stated.keyExpiry().get())) {
      context.reply(handle, refusedHere(stated, Reason.KEY_EXPIRED));
      return;
    }
    registry.add(request);
    registry.addRecipient(request, new AnswerRecipient.Caller(handle));
    context.recordTimelineEvent(TimelineKind.REQUEST_RECEIVED, request.id(), workClass.name());
    keys.receive(request, refusal(stated));
  }

  /** Takes a request that a peer passed on. */
  void receiveForwarded(EntryId sender, Forward message) {
    Optional<WorkClass> workClass =
        context
            .configuration()
            .flatMap(configuration -> configuration.classNamed(message.request().service()));
    if (message.byTicket()) {
      receiveForwardedTicket(sender, message, workClass);
      return;
    }
    if (!forwarder.accept(sender, message)) {
      return;
    }
    boolean refused = workClass.isEmpty() || refusal(message.request()).isPresent();
    if (refused || !startForwarded(sender, message, workClass.get())) {
      forwarder.decline(
          sender, message.attempt(), pool.freeSlots(Lane.SHORT), pool.freeSlots(Lane.LONG));
    }
  }

  private boolean startForwarded(EntryId sender, Forward message, WorkClass workClass) {
    Request request =
        new Request(context.newId(), message.request(), workClass, false, context.now());
    if (!dispatcher.startNow(request)) {
      return false;
    }
    registry.add(request);
    registry.addRecipient(request, new AnswerRecipient.ForwardingPeer(sender, message.attempt()));
    forwarder.started(message, request.id());
    return true;
  }

  private void receiveForwardedTicket(
      EntryId sender, Forward message, Optional<WorkClass> workClass) {
    AnswerRecipient asker = new AnswerRecipient.ForwardingPeer(sender, message.attempt());
    if (workClass.isEmpty()) {
      return;
    }
    boolean alreadyWaits =
        registry
            .active(message.request().ticket().orElseThrow())
            .map(request -> request.recipients().contains(asker))
            .orElse(false);
    if (!alreadyWaits) {
      receiveTicket(asker, message.request(), workClass.get());
    }
  }

  void declined(EntryId sender, ForwardDeclined message) {
    forwarder.declined(sender, message).ifPresent(dispatcher::returned);
  }

  void answered(EntryId sender, ForwardAnswered message) {
    forwarder.answered(sender, message).ifPresent(request -> apply(request, message));
  }

  private void apply(Request request, ForwardAnswered message) {
    boolean byTicket = !request.mayBeForwarded();
    if (byTicket || message.outcome() == Outcome.DONE) {
      dispatcher.withdraw(request);
      registry.finish(request, message.outcome(), message.reason(), message.body());
      return;
    }
    switch (message.outcome()) {
      case NOT_RUN -> dispatcher.returned(request);
      case FAILED -> {
        request.markFailed();
        if (!dispatcher.retryElsewhere(request, "failed at a peer")) {
          registry.finish(request, message.outcome(), message.reason(), message.body());
        }
      }
      case UNKNOWN -> {
        request.markMayHaveRun();
        dispatcher.retryElsewhere(request, "lost at a peer");
      }
      default -> throw new IllegalStateException("outcome " + message.outcome());
    }
  }

  /** Retries repeatable requests whose peer is gone; the others stay until their deadline. */
  void tick() {
    for (Request request : forwarder.tick()) {
      dispatcher.retryElsewhere(request, "the peer is gone");
    }
  }

  void query(long handle, String requestId) {
    Optional<Answer.RequestAnswer> known = registry.finished(requestId);
    if (known.isPresent()) {
      context.reply(handle, known.get());
    } else if (registry.active(requestId).isPresent()) {
      context.reply(handle, Answers.unknown(requestId, Reason.UNFINISHED));
    } else {
      queryIssuer(handle, requestId);
    }
  }

  private void queryIssuer(long handle, String requestId) {
    int dash = requestId.indexOf('-', Math.max(0, requestId.indexOf('@')));
    boolean wellFormed = requestId.indexOf('@') > 0 && dash > requestId.indexOf('@') + 1;
    if (!wellFormed) {
      context.reply(handle, Answers.notFound("request", requestId));
      return;
    }
    EntryId issuer = EntryId.parse(requestId.substring(0, dash));
    if (issuer.equals(context.self())) {
      context.reply(handle, Answers.notFound("request", requestId));
    } else if (!forwarder.queryIssuer(handle, requestId, issuer)) {
      context.reply(handle, Answers.unknown(requestId, Reason.ISSUER_UNREACHABLE));
    }
  }
}
