package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.platform.StoreFailure;

/**
 * A request that waits for an answer.
 *
 * <p>A refusal becomes the answer only if nobody can have stored the job: each scheduler that was
 * sent the request must have refused it or not taken it, and this member must not have appended it
 * itself, or the store must have refused that for certain.
 *
 * <p>A request may be sent to one scheduler more than once; each time, the scheduler owes a reply.
 */
final class OpenRequest {

  private final CallerRequest request;
  private final List<SchedulerSeat> schedulersAsked = new ArrayList<>();
  private Optional<CallerAnswer> answer = Optional.empty();
  private int refusals;
  private int timesNotTaken;
  private boolean lastSendRefused;
  private Instant replyDueAt = Instant.MAX;
  private int appends;
  private boolean appending;
  private boolean maybeStored;
  private Optional<AppendOutcome> lastAppend = Optional.empty();

  OpenRequest(CallerRequest request) {
    this.request = request;
  }

  CallerRequest request() {
    return request;
  }

  /** Returns whether a scheduler that was sent the request has neither answered nor returned it. */
  synchronized boolean awaitsScheduler() {
    return schedulersAsked.size() > refusals + timesNotTaken;
  }

  /** Returns whether the request may have taken effect, or may do so later. */
  synchronized boolean mayTakeEffect() {
    return awaitsScheduler() || appending || maybeStored;
  }

  /**
   * Returns whether to send the request to the scheduler again: its reply is overdue, so that the
   * request or the reply may be lost, or a refusal did not settle the outcome, since another
   * scheduler may have taken the request.
   */
  synchronized boolean isDueAgain(Instant now) {
    return lastSendRefused || (awaitsScheduler() && !now.isBefore(replyDueAt));
  }

  /** Records that the request was sent to a scheduler, which is to reply by the given time. */
  synchronized void addSchedulerAsked(SchedulerSeat scheduler, Instant replyDue) {
    schedulersAsked.add(scheduler);
    replyDueAt = replyDue;
    lastSendRefused = false;
    notifyAll();
  }

  /** Records that a scheduler has returned the request: it has not taken it and will not. */
  synchronized void countNotTaken() {
    if (awaitsScheduler()) {
      timesNotTaken++;
      notifyAll();
    }
  }

  /** Returns the final answer, if there is one. */
  synchronized Optional<CallerAnswer> answer() {
    return answer;
  }

  /**
   * Records that this member appends the job itself. Returns false if a scheduler has answered
   * meanwhile: its refusal would not be true any more after an append.
   */
  synchronized boolean tryBeginAppend() {
    if (answer.isPresent()) {
      return false;
    }
    appends++;
    appending = true;
    return true;
  }

  /** How an append by this member ended. */
  enum AppendOutcome {
    /** The store has the entry. */
    STORED(true),
    /** The store may have the entry, or may get it later. */
    UNCERTAIN(true),
    /** The store has refused the entry for certain. */
    REFUSED(false),
    /** The entry was not sent, since others were before it. */
    UNSENT(false);

    private final boolean maybeStored;

    AppendOutcome(boolean maybeStored) {
      this.maybeStored = maybeStored;
    }

    static AppendOutcome of(Either<StoreFailure, Long> result) {
      if (result.isRight()) {
        return STORED;
      }
      return result.getLeft().kind() == StoreFailure.Kind.NOT_DONE ? REFUSED : UNCERTAIN;
    }
  }

  /** Records how the append ended. */
  synchronized void endAppend(AppendOutcome outcome) {
    appending = false;
    maybeStored |= outcome.maybeStored;
    lastAppend = Optional.of(outcome);
  }

  /** Returns whether this member last had to give up an append before it was sent. */
  synchronized boolean appendUnsent() {
    return lastAppend.filter(outcome -> outcome == AppendOutcome.UNSENT).isPresent();
  }

  /** Records an answer of a scheduler; returns whether it is final. */
  synchronized boolean completeIfFinal(CallerAnswer schedulerAnswer) {
    boolean refusal = schedulerAnswer.verdict().isRefusal();
    if (refusal) {
      refusals++;
      lastSendRefused = true;
    }
    if (refusal && mayTakeEffect()) {
      notifyAll();
      return false;
    }
    answer = Optional.of(schedulerAnswer);
    notifyAll();
    return true;
  }

  /**
   * Waits for an answer. Returns early and empty once no scheduler owes a reply any more, or once
   * the first one does.
   *
   * @param millis how long to wait at most
   */
  synchronized Optional<CallerAnswer> awaitAnswer(long millis) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    boolean awaited = awaitsScheduler();
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (answer.isEmpty() && awaitsScheduler() == awaited && remainingNanos > 0) {
      TimeUnit.NANOSECONDS.timedWait(this, remainingNanos);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
    return answer;
  }

  /** Returns what led to the answer, for the log. */
  synchronized Map<String, Object> logFields() {
    Map<String, Object> fields = new HashMap<>();
    fields.put("schedulers", List.copyOf(schedulersAsked));
    fields.put("refusals", refusals);
    fields.put("notTaken", timesNotTaken);
    fields.put("appends", appends);
    fields.put("maybeStored", maybeStored);
    return Map.copyOf(fields);
  }
}
