package org.hyssopport.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hyssopport.engine.Request.Phase;
import org.hyssopport.engine.work.CloseCause;
import org.hyssopport.engine.work.KeyStatus;
import org.hyssopport.engine.work.StreamFollower.AppliedRecord;
import org.hyssopport.engine.work.StreamRecord.KeyClaimed;
import org.hyssopport.engine.work.StreamRecord.KeyClosed;

/**
 * Runs requests that carry an idempotency key at most once: the request that makes the first valid
 * claim of the key in the log runs.
 *
 * <p>A request whose key was claimed by another request waits for that request's outcome and gets
 * the same one: once a request was answered as not run, no request with the same key runs later. If
 * the log can't be used, the outcome is unknown, since another instance may have run a request with
 * the key.
 */
final class IdempotencyKeyManager {

  private static final int MAXIMUM_STORED_ANSWER_CHARACTERS = 8192;
  private static final Duration CLOSE_RETRY_INTERVAL = Duration.ofSeconds(2);

  private final EngineContext context;
  private final FollowedStreams streams;
  private final AppendTracker tracker;
  private final RequestRegistry registry;
  private final Map<String, List<Request>> waiters = new HashMap<>();
  private final Map<String, PendingClose> pendingCloses = new LinkedHashMap<>();
  private Consumer<Request> runner = request -> {};

  IdempotencyKeyManager(
      EngineContext context,
      FollowedStreams streams,
      AppendTracker tracker,
      RequestRegistry registry) {
    this.context = context;
    this.streams = streams;
    this.tracker = tracker;
    this.registry = registry;
    registry.onFinish(this::scheduleClose);
  }

  /** Sets the function that runs a request whose claim of its key is valid. */
  void setRunner(Consumer<Request> newRunner) {
    runner = newRunner;
  }

  /**
   * Waits for the outcome of the earlier request that claimed the key, or claims the key if there
   * was none.
   *
   * @param refusal why this instance must not run the request; if present, the key is not claimed,
   *     and the outcome is unknown unless an earlier request claimed the key
   */
  void joinOrClaim(Request request, Optional<Reason> refusal) {
    request.moveTo(Phase.CLAIMING);
    String key = request.serviceRequest().keyWithExpiry().orElseThrow();
    int homeStream = streams.homeStream(key);
    if (!streams.workStream(homeStream).isInitialized()) {
      finishUnknown(request, Reason.LOG_UNAVAILABLE);
      return;
    }
    Optional<KeyStatus> keyStatus = streams.projection(homeStream).key(key);
    if (keyStatus.isPresent()) {
      joinEarlierRun(request, key, keyStatus.get());
    } else if (refusal.isPresent()) {
      finishUnknown(request, refusal.get());
    } else {
      claim(request, key, homeStream);
    }
  }

  private void claim(Request request, String key, int homeStream) {
    Instant expiry = request.serviceRequest().keyExpiry().orElseThrow();
    KeyClaimed record = new KeyClaimed(key, context.self(), expiry);
    tracker.append(
        streams.name(homeStream),
        record,
        expiry,
        new AppendTracker.Listener() {
          @Override
          public void onApplied(boolean valid) {
            onClaimApplied(request, key, valid);
          }

          @Override
          public void onRefused() {
            finishUnknown(request, Reason.LOG_UNAVAILABLE);
          }

          @Override
          public void onExpired() {
            finishUnknown(request, Reason.LOG_ANSWER_LOST);
          }
        });
  }

  private void onClaimApplied(Request request, String key, boolean valid) {
    if (!valid) {
      streams
          .projection(streams.homeStream(key))
          .key(key)
          .ifPresentOrElse(
              keyStatus -> joinEarlierRun(request, key, keyStatus),
              () -> finishUnknown(request, Reason.KEY_IN_USE));
      return;
    }
    request.setClaimedKey(key);
    boolean inTime = context.now().isBefore(request.deadline());
    if (inTime && !request.recipients().isEmpty() && !context.isDraining()) {
      runner.accept(request);
    } else {
      registry.finish(request, Outcome.NOT_RUN, Reason.NO_CAPACITY_IN_TIME, Optional.empty());
    }
  }

  private void joinEarlierRun(Request request, String key, KeyStatus keyStatus) {
    if (keyStatus.cause().isEmpty()) {
      waiters.computeIfAbsent(key, each -> new ArrayList<>()).add(request);
    } else {
      finishWithOutcomeOf(request, keyStatus);
    }
  }

  private void finishWithOutcomeOf(Request request, KeyStatus keyStatus) {
    Outcome outcome =
        switch (keyStatus.cause().orElseThrow()) {
          case DONE -> Outcome.DONE;
          case FAILED -> Outcome.FAILED;
          case NOT_RUN -> Outcome.NOT_RUN;
          case LOST, PREEMPTED, CANCELLED -> Outcome.UNKNOWN;
        };
    registry.finish(request, outcome, Reason.KEY_USED, keyStatus.answer());
  }

  private void finishUnknown(Request request, Reason reason) {
    registry.finish(request, Outcome.UNKNOWN, reason, Optional.empty());
  }

  private void scheduleClose(Request request) {
    request
        .claimedKey()
        .ifPresent(
            key -> {
              Answer.RequestAnswer answer = registry.finished(request.id()).orElseThrow();
              CloseCause cause =
                  switch (answer.outcome()) {
                    case DONE -> CloseCause.DONE;
                    case FAILED -> CloseCause.FAILED;
                    case NOT_RUN -> CloseCause.NOT_RUN;
                    case UNKNOWN -> CloseCause.LOST;
                  };
              Optional<String> storedAnswer =
                  answer.body().filter(body -> body.length() <= MAXIMUM_STORED_ANSWER_CHARACTERS);
              KeyClosed record = new KeyClosed(key, cause, storedAnswer);
              pendingCloses.put(key, new PendingClose(record, context.now()));
            });
  }

  /** Finishes the requests that wait for a key when the key is closed. */
  void onRecordsApplied(List<AppliedRecord> records) {
    for (AppliedRecord record : records) {
      if (record.valid() && record.record() instanceof KeyClosed closed) {
        pendingCloses.remove(closed.key());
        List<Request> waiting = waiters.remove(closed.key());
        if (waiting != null) {
          KeyStatus keyStatus =
              streams.projection(streams.homeStream(closed.key())).key(closed.key()).orElseThrow();
          waiting.forEach(request -> finishWithOutcomeOf(request, keyStatus));
        }
      }
    }
  }

  void tick() {
    pendingCloses.replaceAll(
        (key, pending) -> {
          if (context.now().isBefore(pending.nextTry())) {
            return pending;
          }
          context.append(streams.name(streams.homeStream(key)), pending.record());
          return new PendingClose(pending.record(), context.now().plus(CLOSE_RETRY_INTERVAL));
        });
    waiters.values().forEach(list -> list.removeIf(each -> each.phase() == Phase.FINISHED));
    waiters.values().removeIf(List::isEmpty);
  }

  boolean isIdle() {
    return pendingCloses.isEmpty();
  }

  /**
   * A close of a key that has not been read back from the log yet.
   *
   * @param record the record that closes the key
   * @param nextTry when to append the record again
   */
  private record PendingClose(KeyClosed record, Instant nextTry) {}
}
