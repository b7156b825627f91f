package org.hyssopport.engine.advice;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.StepId;

/**
 * Distributes calls to the advice service over the members of the cell. Only the scheduler uses it.
 *
 * <p>The service handles one call at a time for each calling instance, and a long call takes about
 * sixty times as long as a short one. Optimised for a workload that mixes both kinds in one stream,
 * in which a short call queued behind a long one misses its objective: each member has at most one
 * call in flight, and a third of the members is kept free of long calls.
 *
 * @since 0.2
 */
public final class AdviceDispatcher {

  /** Calls that are expected to take at least this time count as long. */
  private static final Duration LONG_CALL_THRESHOLD = Duration.ofMillis(500);

  /**
   * One in this number of members, rounded up, is kept free of long calls; a sole member makes them
   * too.
   */
  private static final int RESERVED_MEMBER_DIVISOR = 3;

  /** The time beyond the expected duration of a call after which the call times out. */
  public static final Duration ANSWER_ALLOWANCE = Duration.ofMillis(1500);

  /** How long a member gets no calls after it left one unanswered. */
  private static final Duration MEMBER_PAUSE = Duration.ofMillis(500);

  private final Map<String, Instant> availableFromByMember = new LinkedHashMap<>();
  private final Map<String, CallInFlight> callInFlightByMember = new HashMap<>();
  private final List<AdviceCall> waitingCalls = new ArrayList<>();
  private final Set<StepId> pendingSteps = new HashSet<>();

  private AdviceDispatcher() {}

  private record CallInFlight(AdviceCall call, Instant timesOutAt) {}

  /**
   * A call assigned to the member that has to make it.
   *
   * @param member the member's address
   * @param call the call
   */
  public record Dispatch(String member, AdviceCall call) {}

  /** Returns a dispatcher without members. */
  public static AdviceDispatcher create() {
    return new AdviceDispatcher();
  }

  /** Replaces the members that can make calls; queues the calls of removed members again. */
  public void setMembers(Set<String> members) {
    availableFromByMember.keySet().removeIf(member -> !members.contains(member));
    members.forEach(member -> availableFromByMember.putIfAbsent(member, Instant.MIN));
    List<String> lostMembers =
        callInFlightByMember.keySet().stream().filter(member -> !members.contains(member)).toList();
    for (String member : lostMembers) {
      enqueueAgain(callInFlightByMember.remove(member).call());
    }
  }

  /** Returns whether a call for the step is queued or in flight. */
  public boolean isPending(StepId step) {
    return pendingSteps.contains(step);
  }

  /** Returns whether calls wait for a member that is free to make them. */
  public boolean hasWaitingCalls() {
    return !waitingCalls.isEmpty();
  }

  /** Queues a call, unless one for the same step is pending. */
  public void enqueue(AdviceCall call) {
    if (pendingSteps.add(call.step())) {
      waitingCalls.add(call);
    }
  }

  /** Queues a call that was not answered again, unless its step needs no advice any more. */
  private void enqueueAgain(AdviceCall call) {
    if (pendingSteps.contains(call.step())) {
      waitingCalls.add(call);
    }
  }

  /**
   * Removes the call of a step that needs no advice any more. If it is in flight, its member is
   * free for another one once it is answered or timed out.
   */
  public void cancel(StepId step) {
    waitingCalls.removeIf(call -> call.step().equals(step));
    pendingSteps.remove(step);
  }

  /** Times out overdue calls, assigns queued calls to free members and returns the assignments. */
  public List<Dispatch> dispatch(Instant now) {
    timeOutCalls(now);
    if (waitingCalls.isEmpty()) {
      return List.of();
    }
    waitingCalls.sort(byUrgency(now));
    List<Dispatch> dispatched = new ArrayList<>();
    for (AdviceCall call : List.copyOf(waitingCalls)) {
      Optional<String> member = availableMember(isLong(call), now);
      if (member.isPresent()) {
        waitingCalls.remove(call);
        Instant timesOutAt = now.plus(call.expectedDuration()).plus(ANSWER_ALLOWANCE);
        callInFlightByMember.put(member.get(), new CallInFlight(call, timesOutAt));
        dispatched.add(new Dispatch(member.get(), call));
      }
    }
    return dispatched;
  }

  /**
   * Orders calls by the priority of their queue. Among equals, those that can still be answered in
   * time for their objective come first, and of these the one whose step has to start first.
   */
  private static Comparator<AdviceCall> byUrgency(Instant now) {
    return Comparator.comparingInt(AdviceCall::priority)
        .thenComparing(call -> now.plus(call.expectedDuration()).isAfter(call.startBy()))
        .thenComparing(AdviceCall::startBy)
        .thenComparingLong(AdviceCall::number);
  }

  private void timeOutCalls(Instant now) {
    for (Map.Entry<String, CallInFlight> entry : List.copyOf(callInFlightByMember.entrySet())) {
      if (now.isAfter(entry.getValue().timesOutAt())) {
        requeueUnanswered(entry.getValue().call().number(), now);
      }
    }
  }

  private static boolean isLong(AdviceCall call) {
    return call.expectedDuration().compareTo(LONG_CALL_THRESHOLD) >= 0;
  }

  private Optional<String> availableMember(boolean forLongCall, Instant now) {
    long longCalls =
        callInFlightByMember.values().stream().filter(inFlight -> isLong(inFlight.call())).count();
    int maximumLongCalls =
        Math.max(
            1,
            availableFromByMember.size()
                - (availableFromByMember.size() + RESERVED_MEMBER_DIVISOR - 1)
                    / RESERVED_MEMBER_DIVISOR);
    if (forLongCall && longCalls >= maximumLongCalls) {
      return Optional.empty();
    }
    return availableFromByMember.entrySet().stream()
        .filter(
            entry ->
                !callInFlightByMember.containsKey(entry.getKey())
                    && !now.isBefore(entry.getValue()))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /**
   * Records that a call was answered.
   *
   * @param number the number of the call
   * @return the call, or empty if it is not in flight, for instance after a timeout
   */
  public Optional<AdviceCall> recordAnswer(long number) {
    Optional<String> member = memberOf(number);
    return member.map(
        address -> {
          AdviceCall call = callInFlightByMember.remove(address).call();
          pendingSteps.remove(call.step());
          return call;
        });
  }

  /**
   * Queues a call again that was not answered. Its member gets no calls for 0.5 s, so that another
   * member makes it.
   *
   * @param number the number of the call
   * @param now the reading of the local monotonic clock
   */
  public void requeueUnanswered(long number, Instant now) {
    memberOf(number)
        .ifPresent(
            address -> {
              enqueueAgain(callInFlightByMember.remove(address).call());
              availableFromByMember.replace(address, now.plus(MEMBER_PAUSE));
            });
  }

  private Optional<String> memberOf(long number) {
    return callInFlightByMember.entrySet().stream()
        .filter(entry -> entry.getValue().call().number() == number)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
