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

/** Accepts service requests from callers and from peers, and answers queries about them. */
final class RequestHandler {

  private final EngineContext context;
  private final RequestRegistry registry;
  private final RequestDispatcher dispatcher;
  private final Forwarder forwarder;
  private final TicketIssuer ticketIssuer;
  private final IdempotencyKeyManager keyManager;
  private final WorkerPool pool;

  RequestHandler(
      EngineContext context,
      RequestRegistry registry,
      RequestDispatcher dispatcher,
      Forwarder forwarder,
      IdempotencyKeyManager keyManager,
      WorkerPool pool) {
    this.context = context;
    this.registry = registry;
    this.dispatcher = dispatcher;
    this.forwarder = forwarder;
    this.keyManager = keyManager;
    this.pool = pool;
    this.ticketIssuer = new TicketIssuer(context);
  }

  void issueTicket(long handle) {
    context.reply(handle, ticketIssuer.issue());
  }

  void receive(long handle, ServiceRequest serviceRequest) {
    if (context.configuration().isEmpty()) {
      context.reply(handle, refusalAnswer(serviceRequest, Reason.NOT_READY));
      return;
    }
    Configuration configuration = context.configuration().get();
    List<Finding> findings = validate(serviceRequest, configuration);
    if (!findings.isEmpty()) {
      boolean unknown = configuration.classNamed(serviceRequest.service()).isEmpty();
      RefusalKind kind = unknown ? RefusalKind.NOT_FOUND : RefusalKind.INVALID;
      context.reply(handle, new Answer.Refused(kind, findings));
      return;
    }
    WorkClass workClass = configuration.classNamed(serviceRequest.service()).orElseThrow();
    Instant deadline = serviceRequest.deadline().orElse(context.now().plus(workClass.patience()));
    ServiceRequest requestWithDeadline = serviceRequest.withDeadline(deadline);
    if (requestWithDeadline.ticket().isPresent()) {
      receiveWithTicket(new AnswerRecipient.Caller(handle), requestWithDeadline, workClass);
    } else if (requestWithDeadline.key().isPresent()) {
      receiveWithKey(handle, requestWithDeadline, workClass);
    } else {
      receivePlain(handle, requestWithDeadline, workClass);
    }
  }

  /**
   * Returns the answer to a request that is not accepted.
   *
   * <p>The outcome of a request with a ticket or a key is unknown, since it may have run before or
   * on another instance.
   */
  private Answer.RequestAnswer refusalAnswer(ServiceRequest serviceRequest, Reason reason) {
    String id = context.newId();
    return serviceRequest.runsAtMostOnce()
        ? Answers.unknownOutcome(id, reason)
        : Answers.notRun(id, reason);
  }

  private static List<Finding> validate(
      ServiceRequest serviceRequest, Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    Optional<WorkClass> workClass = configuration.classNamed(serviceRequest.service());
    if (workClass.isEmpty()) {
      findings.add(new Finding("service", "is not known: " + serviceRequest.service()));
    } else if (workClass.get().kind() != WorkKind.SERVICE) {
      findings.add(new Finding("service", "is no service, but " + workClass.get().kind()));
    }
    if (serviceRequest.body().length() > configuration.limits().maximumBodyBytes()) {
      String limit = "is over " + configuration.limits().maximumBodyBytes() + " bytes";
      findings.add(new Finding("body", limit));
    }
    if (serviceRequest.key().isPresent() && serviceRequest.keyExpiry().isEmpty()) {
      findings.add(new Finding("keyExpiry", "is missing; a key needs it"));
    }
    if (serviceRequest.key().isPresent() && serviceRequest.ticket().isPresent()) {
      findings.add(new Finding("key", "can't be used together with a ticket"));
    }
    if (serviceRequest.repeatable() == serviceRequest.runsAtMostOnce()) {
      findings.add(
          new Finding("repeatable", "must be true without, and false with a ticket or a key"));
    }
    return findings;
  }

  private Optional<Reason> refusal(ServiceRequest serviceRequest) {
    if (context.isDraining()) {
      return Optional.of(Reason.DRAINING);
    }
    if (isDeadlinePassed(serviceRequest)) {
      return Optional.of(Reason.DEADLINE_PASSED);
    }
    return dispatcher.isFull() ? Optional.of(Reason.OVERLOADED) : Optional.empty();
  }

  private boolean isDeadlinePassed(ServiceRequest serviceRequest) {
    return serviceRequest.deadline().map(at -> !context.now().isBefore(at)).orElse(true);
  }

  private void receivePlain(long handle, ServiceRequest serviceRequest, WorkClass workClass) {
    Optional<Reason> refusal = refusal(serviceRequest);
    String id = context.newId();
    if (refusal.isPresent()) {
      context.reply(handle, Answers.notRun(id, refusal.get()));
      return;
    }
    Request request = openRequest(id, serviceRequest, workClass);
    registry.addRecipient(request, new AnswerRecipient.Caller(handle));
    dispatcher.enqueue(request);
  }

  private Request openRequest(String id, ServiceRequest serviceRequest, WorkClass workClass) {
    Request request = new Request(id, serviceRequest, workClass, true, context.now());
    context.recordTimelineEvent(TimelineKind.REQUEST_RECEIVED, id, workClass.name());
    registry.add(request);
    return request;
  }

  private void receiveWithTicket(
      AnswerRecipient recipient, ServiceRequest serviceRequest, WorkClass workClass) {
    String text = serviceRequest.ticket().orElseThrow();
    Optional<Ticket> ticket = TicketIssuer.parse(text);
    if (ticket.isEmpty()) {
      answerDirectly(
          recipient, Answers.notRun(text, Reason.TICKET_INVALID), workClass, serviceRequest);
    } else if (ticket.get().issuer().equals(context.self())) {
      useOwnTicket(recipient, ticket.get(), serviceRequest, workClass);
    } else {
      forwardToIssuer(recipient, ticket.get().issuer(), serviceRequest, workClass);
    }
  }

  private void useOwnTicket(
      AnswerRecipient recipient,
      Ticket ticket,
      ServiceRequest serviceRequest,
      WorkClass workClass) {
    String id = serviceRequest.ticket().orElseThrow();
    Optional<Request> running = registry.active(id);
    if (running.isPresent()) {
      registry.addRecipient(running.get(), recipient);
      return;
    }
    Optional<Answer.RequestAnswer> finishedAnswer = registry.finished(id);
    if (finishedAnswer.isPresent()) {
      answerDirectly(recipient, finishedAnswer.get(), workClass, serviceRequest);
    } else if (!ticketIssuer.wasIssued(ticket)) {
      answerDirectly(
          recipient, Answers.notRun(id, Reason.TICKET_INVALID), workClass, serviceRequest);
    } else if (ticketIssuer.wasUsed(ticket) || context.now().isAfter(ticket.expiry())) {
      answerDirectly(
          recipient, Answers.unknownOutcome(id, Reason.TICKET_INVALID), workClass, serviceRequest);
    } else {
      runOwnTicket(recipient, ticket, serviceRequest, workClass);
    }
  }

  private void runOwnTicket(
      AnswerRecipient recipient,
      Ticket ticket,
      ServiceRequest serviceRequest,
      WorkClass workClass) {
    ticketIssuer.markUsed(ticket);
    Request request = openRequest(serviceRequest.ticket().orElseThrow(), serviceRequest, workClass);
    registry.addRecipient(request, recipient);
    Optional<Reason> refusal = refusal(serviceRequest);
    if (refusal.isPresent()) {
      registry.finish(request, Outcome.NOT_RUN, refusal.get(), Optional.empty());
      return;
    }
    dispatcher.enqueue(request);
  }

  private void forwardToIssuer(
      AnswerRecipient recipient,
      EntryId issuer,
      ServiceRequest serviceRequest,
      WorkClass workClass) {
    Request request = new Request(context.newId(), serviceRequest, workClass, false, context.now());
    boolean deadlinePassed = isDeadlinePassed(serviceRequest);
    if (deadlinePassed
        || recipient instanceof AnswerRecipient.ForwardingPeer
        || !forwarder.forwardToIssuer(request, issuer)) {
      Reason reason = deadlinePassed ? Reason.DEADLINE_PASSED : Reason.ISSUER_UNREACHABLE;
      answerDirectly(
          recipient, Answers.unknownOutcome(request.id(), reason), workClass, serviceRequest);
      return;
    }
    registry.add(request);
    registry.addRecipient(request, recipient);
  }

  /** Sends an answer to a recipient without adding a request to the registry. */
  private void answerDirectly(
      AnswerRecipient recipient,
      Answer.RequestAnswer answer,
      WorkClass workClass,
      ServiceRequest serviceRequest) {
    Request request =
        new Request(answer.requestId(), serviceRequest, workClass, false, context.now());
    registry.addRecipient(request, recipient);
    registry.sendAnswers(request, answer);
  }

  private void receiveWithKey(long handle, ServiceRequest serviceRequest, WorkClass workClass) {
    Request request = new Request(context.newId(), serviceRequest, workClass, true, context.now());
    Instant latest = context.now().plus(context.settings().retention().dividedBy(2));
    if (serviceRequest.keyExpiry().orElseThrow().isAfter(latest)) {
      Finding finding = new Finding("keyExpiry", "must be at most half the log's retention away");
      context.reply(handle, new Answer.Refused(RefusalKind.INVALID, List.of(finding)));
      return;
    }
    if (!context.now().isBefore(serviceRequest.keyExpiry().get())) {
      context.reply(handle, refusalAnswer(serviceRequest, Reason.KEY_EXPIRED));
      return;
    }
    registry.add(request);
    registry.addRecipient(request, new AnswerRecipient.Caller(handle));
    context.recordTimelineEvent(TimelineKind.REQUEST_RECEIVED, request.id(), workClass.name());
    keyManager.joinOrClaim(request, refusal(serviceRequest));
  }

  /**
   * Handles a request that a peer forwarded.
   *
   * <p>A request with a ticket of this instance runs like one from a caller; any other is started
   * at once or declined.
   */
  void receiveForwarded(EntryId sender, Forward message) {
    Optional<WorkClass> workClass =
        context
            .configuration()
            .flatMap(configuration -> configuration.classNamed(message.request().service()));
    if (message.byTicket()) {
      receiveForwardedWithTicket(sender, message, workClass);
      return;
    }
    if (!forwarder.acceptIfNew(sender, message)) {
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
    if (!dispatcher.tryStartNow(request)) {
      return false;
    }
    registry.add(request);
    registry.addRecipient(request, new AnswerRecipient.ForwardingPeer(sender, message.attempt()));
    forwarder.recordStarted(message, request.id());
    return true;
  }

  private void receiveForwardedWithTicket(
      EntryId sender, Forward message, Optional<WorkClass> workClass) {
    AnswerRecipient recipient = new AnswerRecipient.ForwardingPeer(sender, message.attempt());
    if (workClass.isEmpty()) {
      return;
    }
    boolean alreadyWaits =
        registry
            .active(message.request().ticket().orElseThrow())
            .map(request -> request.recipients().contains(recipient))
            .orElse(false);
    if (!alreadyWaits) {
      receiveWithTicket(recipient, message.request(), workClass.get());
    }
  }

  void onForwardDeclined(EntryId sender, ForwardDeclined message) {
    forwarder.onForwardDeclined(sender, message).ifPresent(dispatcher::requeue);
  }

  void onForwardAnswered(EntryId sender, ForwardAnswered message) {
    forwarder
        .onForwardAnswered(sender, message)
        .ifPresent(request -> applyForwardAnswer(request, message));
  }

  private void applyForwardAnswer(Request request, ForwardAnswered message) {
    boolean byTicket = !request.mayBeForwarded();
    if (byTicket || message.outcome() == Outcome.DONE) {
      dispatcher.withdraw(request);
      registry.finish(request, message.outcome(), message.reason(), message.body());
      return;
    }
    switch (message.outcome()) {
      case NOT_RUN -> dispatcher.requeue(request);
      case FAILED -> {
        request.markFailed();
        if (!dispatcher.retryElsewhere(request, "failed at a peer")) {
          registry.finish(request, message.outcome(), message.reason(), message.body());
        }
      }
      case UNKNOWN -> {
        request.markMayHaveRun();
        dispatcher.retryElsewhere(request, "outcome lost at a peer");
      }
      default ->
          throw new IllegalStateException(
              "unexpected outcome of a forwarded request: " + message.outcome());
    }
  }

  /** Retries repeatable requests whose peer is unreachable; others stay until their deadline. */
  void tick() {
    for (Request request : forwarder.tick()) {
      dispatcher.retryElsewhere(request, "the peer is unreachable");
    }
  }

  void query(long handle, String requestId) {
    Optional<Answer.RequestAnswer> finishedAnswer = registry.finished(requestId);
    if (finishedAnswer.isPresent()) {
      context.reply(handle, finishedAnswer.get());
    } else if (registry.active(requestId).isPresent()) {
      context.reply(handle, Answers.unknownOutcome(requestId, Reason.UNFINISHED));
    } else {
      queryIssuer(handle, requestId);
    }
  }

  /** Queries the instance whose name and incarnation the request id begins with. */
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
      context.reply(handle, Answers.unknownOutcome(requestId, Reason.ISSUER_UNREACHABLE));
    }
  }
}
