package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.hyssopport.engine.advice.Ticket;
import org.hyssopport.engine.scheduler.OrderResult;
import org.hyssopport.engine.scheduler.SchedulerEffect;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.engine.worker.WorkerDescription;
import org.hyssopport.platform.WorkerGateway;

/**
 * Sends the start and stop orders of one term to workers, on threads that all terms of a member
 * share, and reports their results to the scheduler.
 */
final class OrderSender {

  /** The way to a worker in another region takes this long. */
  private static final Duration ORDER_TRANSIT = Duration.ofMillis(20);

  private final MemberContext context;
  private final long term;
  private final BooleanSupplier termEnded;
  private final Consumer<SchedulerEvent> eventSink;

  private final AtomicLong ordersTaken = new AtomicLong();

  /** The orders that wait for a thread, in their order. */
  private final Queue<WaitingOrder> waiting = new ConcurrentLinkedQueue<>();

  /**
   * Creates the sender of a term.
   *
   * @param context what the components of the member share
   * @param term the term, which workers compare with the newest one that they have seen
   * @param termEnded returns whether the term has ended; from then on no order is sent
   * @param eventSink receives the results
   */
  OrderSender(
      MemberContext context,
      long term,
      BooleanSupplier termEnded,
      Consumer<SchedulerEvent> eventSink) {
    this.context = context;
    this.term = term;
    this.termEnded = termEnded;
    this.eventSink = eventSink;
  }

  void send(SchedulerEffect.Start start) {
    submit(start.worker(), start.run(), true, () -> startInTime(start));
  }

  /**
   * Sends a start order, unless its ticket would run out before it arrives: the worker would refuse
   * it, at the cost of the link and of a slot for orders that can still succeed.
   */
  private WorkerGateway.OrderAnswer startInTime(SchedulerEffect.Start start) {
    Instant arrivesAt = context.clock().instant().plus(ORDER_TRANSIT);
    Optional<Ticket> expired =
        start.ticket().filter(ticket -> !arrivesAt.isBefore(ticket.expiresAt()));
    if (expired.isEmpty()) {
      return context.workerGateway().start(start, term);
    }
    context
        .log()
        .write(
            "start not sent: ticket expired",
            start.run().task().toString(),
            Map.of(
                "run",
                start.run().number(),
                "worker",
                start.worker().id(),
                "millisTooLate",
                Duration.between(expired.get().expiresAt(), arrivesAt).toMillis()));
    return new WorkerGateway.OrderAnswer(OrderResult.TICKET_EXPIRED, Optional.empty());
  }

  void send(SchedulerEffect.Stop stop) {
    submit(stop.worker(), stop.run(), false, () -> context.workerGateway().stop(stop, term));
  }

  /** Returns how many orders have been taken from the queue to be sent. */
  long ordersTaken() {
    return ordersTaken.get();
  }

  /** Returns since when the oldest order that has not been sent waits. */
  Optional<Instant> oldestWaitingSince() {
    return Optional.ofNullable(waiting.peek()).map(WaitingOrder::since);
  }

  /** An order that waits for a thread. Not a record: each one equals itself only. */
  private static final class WaitingOrder {
    private final Instant since;

    private WaitingOrder(Instant since) {
      this.since = since;
    }

    private Instant since() {
      return since;
    }
  }

  /** A call that orders a worker to start or stop a run. */
  private interface Order {
    WorkerGateway.OrderAnswer send();
  }

  private void submit(WorkerDescription worker, RunId run, boolean isStart, Order order) {
    WaitingOrder waitingOrder = new WaitingOrder(context.clock().instant());
    waiting.add(waitingOrder);
    try {
      context
          .orderExecutor()
          .execute(
              () -> {
                waiting.remove(waitingOrder);
                ordersTaken.incrementAndGet();
                sendNow(worker, run, isStart, order);
              });
    } catch (RejectedExecutionException e) {
      waiting.remove(waitingOrder);
      context
          .log()
          .write("order to a worker not sent", run.task().toString(), Map.of("reason", "overload"));
      report(
          worker,
          run,
          isStart,
          new WorkerGateway.OrderAnswer(OrderResult.NOT_SENT, Optional.empty()));
    }
  }

  private void sendNow(WorkerDescription worker, RunId run, boolean isStart, Order order) {
    if (termEnded.getAsBoolean()) {
      return;
    }
    long startNanos = System.nanoTime();
    WorkerGateway.OrderAnswer answer = order.send();
    String kind = isStart ? "start" : "stop";
    if (!answer.result().isFromCall()) {
      context.metrics().countOrderNotSent(kind, answer.result().name());
      report(worker, run, isStart, answer);
      return;
    }
    context
        .metrics()
        .recordOrder(kind, answer.result().name(), (System.nanoTime() - startNanos) / 1e9);
    if (answer.result() != OrderResult.DONE) {
      context
          .log()
          .write(
              isStart ? "start not confirmed" : "stop not confirmed",
              run.task().toString(),
              Map.of("run", run.number(), "worker", worker.id(), "result", answer.result()));
    }
    report(worker, run, isStart, answer);
  }

  private void report(
      WorkerDescription worker, RunId run, boolean isStart, WorkerGateway.OrderAnswer answer) {
    eventSink.accept(
        new SchedulerEvent.OrderFinished(
            worker.id(),
            worker.incarnation(),
            run,
            isStart,
            answer.result(),
            answer.clockMillis()));
  }
}
