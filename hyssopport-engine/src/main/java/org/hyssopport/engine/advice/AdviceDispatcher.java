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
 * Spreads calls for advice over the members of the cell.
 *
 * <p>The service takes one call at a time for each calling instance, and a call of the long kind
 * takes some sixty times as long as one of the short kind. The load pattern answered is both kinds
 * in one stream: a short call behind a long one misses its objective. So each member has one call
 * in flight, and a third of the members is kept free of long calls.
 *
 * @since 0.2
 */
public final class AdviceDispatcher {

  /** Calls that are expected to take at least this long count as long. */
  private static final Duration LONG_CALL_THRESHOLD = Duration.ofMillis(500);

  /** The share of members that long calls leave free, as one in so many. */
  private static final int RESERVED_MEMBER_DIVISOR = 3;

  /** What an answer may take beyond the service's own time before the call is given up. */
  private static final Duration ANSWER_ALLOWANCE = Duration.ofMillis(1500);

  /** How long a member gets no call after one was not answered. */
  private static final Duration MEMBER_PAUSE = Duration.ofMillis(500);

  private final Map<String, Instant> membersAvailableFrom = new LinkedHashMap<>();
  private final Map<String, CallInFlight> callsInFlight = new HashMap<>();
  private final List<AdviceCall> waitingCalls = new ArrayList<>();
  private final Set<StepId> pendingSteps = new HashSet<>();

  private AdviceDispatcher() {}

  private record CallInFlight(AdviceCall call, Instant timesOutAt) {}

  /**
   * A call that one member has to make.
   *
   * @param member the member's address
   * @param call the call
   */
  public record Dispatch(String member, AdviceCall call) {}

  /** Returns a desk without members. */
  public static AdviceDispatcher create() {
    return new AdviceDispatcher();
  }

  /** Replaces the members that can make calls. */
  public void setMembers(Set<String> members) {
    membersAvailableFrom.keySet().removeIf(member -> !members.contains(member));
    members.forEach(member -> membersAvailableFrom.putIfAbsent(member, Instant.MIN));
    List<String> lostMembers =
        callsInFlight.keySet().stream().filter(each -> !members.contains(each)).toList();
    for (String member : lostMembers) {
      waitingCalls.add(callsInFlight.remove(member).call());
    }
  }

  /** Tells whether a call for the step waits or is being made. */
  public boolean isPending(StepId step) {
    return pendingSteps.contains(step);
  }

  /** Takes a call in. */
  public void enqueue(AdviceCall call) {
    if (pendingSteps.add(call.step())) {
      waitingCalls.add(call);
    }
  }

  /** Drops the calls of steps that want no advice any more. */
  public void cancel(StepId step) {
    if (waitingCalls.removeIf(call -> call.step().equals(step))) {
      pendingSteps.remove(step);
    }
  }

  /** Returns the calls to make now. */
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
        callsInFlight.put(member.get(), new CallInFlight(call, timesOutAt));
        dispatched.add(new Dispatch(member.get(), call));
      }
    }
    return dispatched;
  }

  /**
   * Calls of more urgent queues come first; among equals those that can still be of use in time,
   * and of these the one that has to be made soonest.
   */
  private static Comparator<AdviceCall> byUrgency(Instant now) {
    return Comparator.comparingInt(AdviceCall::priority)
        .thenComparing(call -> now.plus(call.expectedDuration()).isAfter(call.startBy()))
        .thenComparing(AdviceCall::startBy)
        .thenComparingLong(AdviceCall::number);
  }

  private void timeOutCalls(Instant now) {
    for (Map.Entry<String, CallInFlight> entry : List.copyOf(callsInFlight.entrySet())) {
      if (now.isAfter(entry.getValue().timesOutAt())) {
        requeueUnanswered(entry.getValue().call().number(), now);
      }
    }
  }

  private static boolean isLong(AdviceCall call) {
    return call.expectedDuration().compareTo(LONG_CALL_THRESHOLD) >= 0;
  }

  private Optional<String> availableMember(boolean forLongCall, Instant now) {
    long longCalls = callsInFlight.values().stream().filter(each -> isLong(each.call())).count();
    int maximumLongCalls =
        Math.max(
            1,
            membersAvailableFrom.size()
                - (membersAvailableFrom.size() + RESERVED_MEMBER_DIVISOR - 1)
                    / RESERVED_MEMBER_DIVISOR);
    if (forLongCall && longCalls >= maximumLongCalls) {
      return Optional.empty();
    }
    return membersAvailableFrom.entrySet().stream()
        .filter(each -> !callsInFlight.containsKey(each.getKey()) && !now.isBefore(each.getValue()))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Notes an answer; returns the call, unless it was given up before. */
  public Optional<AdviceCall> recordAnswer(long number) {
    Optional<String> member = memberOf(number);
    return member.map(
        address -> {
          AdviceCall call = callsInFlight.remove(address).call();
          pendingSteps.remove(call.step());
          return call;
        });
  }

  /** Notes that a call got no answer; it is made again by another member. */
  public void requeueUnanswered(long number, Instant now) {
    memberOf(number)
        .ifPresent(
            address -> {
              waitingCalls.add(callsInFlight.remove(address).call());
              membersAvailableFrom.replace(address, now.plus(MEMBER_PAUSE));
            });
  }

  private Optional<String> memberOf(long number) {
    return callsInFlight.entrySet().stream()
        .filter(each -> each.getValue().call().number() == number)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
