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
  private static final Duration LONG_CALL = Duration.ofMillis(500);

  /** The share of members that long calls leave free, as one in so many. */
  private static final int ONE_FREE_IN = 3;

  /** What an answer may take beyond the service's own time before the call is given up. */
  private static final Duration ANSWER_ALLOWANCE = Duration.ofMillis(1500);

  /** How long a member gets no call after one was not answered. */
  private static final Duration MEMBER_PAUSE = Duration.ofMillis(500);

  private final Map<String, Instant> freeFrom = new LinkedHashMap<>();
  private final Map<String, CallInFlight> flights = new HashMap<>();
  private final List<AdviceCall> waiting = new ArrayList<>();
  private final Set<StepId> pending = new HashSet<>();

  private AdviceDispatcher() {}

  private record CallInFlight(AdviceCall call, Instant givenUpAt) {}

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
    freeFrom.keySet().removeIf(member -> !members.contains(member));
    members.forEach(member -> freeFrom.putIfAbsent(member, Instant.MIN));
    List<String> lost = flights.keySet().stream().filter(each -> !members.contains(each)).toList();
    for (String member : lost) {
      waiting.add(flights.remove(member).call());
    }
  }

  /** Tells whether a call for the step waits or is being made. */
  public boolean isPending(StepId step) {
    return pending.contains(step);
  }

  /** Takes a call in. */
  public void request(AdviceCall call) {
    if (pending.add(call.step())) {
      waiting.add(call);
    }
  }

  /** Drops the calls of steps that want no advice any more. */
  public void cancel(StepId step) {
    if (waiting.removeIf(call -> call.step().equals(step))) {
      pending.remove(step);
    }
  }

  /** Returns the calls to make now. */
  public List<Dispatch> dispatch(Instant now) {
    giveUp(now);
    if (waiting.isEmpty()) {
      return List.of();
    }
    waiting.sort(order(now));
    List<Dispatch> dispatched = new ArrayList<>();
    for (AdviceCall call : List.copyOf(waiting)) {
      Optional<String> member = freeMember(isLong(call), now);
      if (member.isPresent()) {
        waiting.remove(call);
        Instant givenUpAt = now.plus(call.expected()).plus(ANSWER_ALLOWANCE);
        flights.put(member.get(), new CallInFlight(call, givenUpAt));
        dispatched.add(new Dispatch(member.get(), call));
      }
    }
    return dispatched;
  }

  /**
   * Calls of more urgent queues come first; among equals those that can still be of use in time,
   * and of these the one that has to be made soonest.
   */
  private static Comparator<AdviceCall> order(Instant now) {
    return Comparator.comparingInt(AdviceCall::priority)
        .thenComparing(call -> now.plus(call.expected()).isAfter(call.startBy()))
        .thenComparing(AdviceCall::startBy)
        .thenComparingLong(AdviceCall::number);
  }

  private void giveUp(Instant now) {
    for (Map.Entry<String, CallInFlight> flight : List.copyOf(flights.entrySet())) {
      if (now.isAfter(flight.getValue().givenUpAt())) {
        unanswered(flight.getValue().call().number(), now);
      }
    }
  }

  private static boolean isLong(AdviceCall call) {
    return call.expected().compareTo(LONG_CALL) >= 0;
  }

  private Optional<String> freeMember(boolean forLong, Instant now) {
    long longFlights = flights.values().stream().filter(each -> isLong(each.call())).count();
    int mostLong = Math.max(1, freeFrom.size() - (freeFrom.size() + ONE_FREE_IN - 1) / ONE_FREE_IN);
    if (forLong && longFlights >= mostLong) {
      return Optional.empty();
    }
    return freeFrom.entrySet().stream()
        .filter(each -> !flights.containsKey(each.getKey()) && !now.isBefore(each.getValue()))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Notes an answer; returns the call, unless it was given up before. */
  public Optional<AdviceCall> answered(long number) {
    Optional<String> member = memberOf(number);
    return member.map(
        address -> {
          AdviceCall call = flights.remove(address).call();
          pending.remove(call.step());
          return call;
        });
  }

  /** Notes that a call got no answer; it is made again by another member. */
  public void unanswered(long number, Instant now) {
    memberOf(number)
        .ifPresent(
            address -> {
              waiting.add(flights.remove(address).call());
              freeFrom.replace(address, now.plus(MEMBER_PAUSE));
            });
  }

  private Optional<String> memberOf(long number) {
    return flights.entrySet().stream()
        .filter(each -> each.getValue().call().number() == number)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
