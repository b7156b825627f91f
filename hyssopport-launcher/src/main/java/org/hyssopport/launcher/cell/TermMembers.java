package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The members of the cell, as the scheduler of a term knows them by heartbeats. Thread-safe. */
final class TermMembers {

  /** After five lost heartbeats, a member gets no more calls for advice. */
  private static final Duration MEMBER_TIMEOUT = Duration.ofSeconds(1);

  private final String selfAddress;
  private final Set<String> inherited;
  private final Map<String, Instant> lastSeenAt = new ConcurrentHashMap<>();

  /** The live members that are leaving, or that what this scheduler sends does not reach. */
  private final Set<String> withoutCalls = ConcurrentHashMap.newKeySet();

  /** Before the term is announced, no member sends heartbeats to this one. */
  private volatile Instant inheritedUntil = Instant.MAX;

  private volatile Set<String> live = Set.of();

  /**
   * Creates the members of a term that has not been announced.
   *
   * @param selfAddress the address of the scheduler's own member
   * @param inherited the addresses of the members that the last scheduler listed
   */
  TermMembers(String selfAddress, Set<String> inherited) {
    this.selfAddress = selfAddress;
    this.inherited = inherited;
  }

  /** Records that the term is about to be announced, so that members begin to send heartbeats. */
  void begin(Instant now) {
    inheritedUntil = now.plus(MEMBER_TIMEOUT);
  }

  /**
   * Records the heartbeat of a member.
   *
   * @param member the address of the member
   * @param takesCalls whether it can make calls for advice: a heartbeat alone doesn't show that it
   *     receives what this scheduler sends
   * @param now the reading of the local monotonic clock
   */
  void recordHeartbeat(String member, boolean takesCalls, Instant now) {
    if (takesCalls) {
      withoutCalls.remove(member);
    } else {
      withoutCalls.add(member);
    }
    lastSeenAt.put(member, now);
  }

  /** Forgets silent members, and returns those that can make calls for advice. */
  Set<String> update(Instant now) {
    Instant silentBefore = now.minus(MEMBER_TIMEOUT);
    lastSeenAt.values().removeIf(silentBefore::isAfter);
    withoutCalls.retainAll(lastSeenAt.keySet());
    Set<String> current = new HashSet<>(lastSeenAt.keySet());
    current.add(selfAddress);
    live = Set.copyOf(current);
    current.removeAll(withoutCalls);
    return current;
  }

  /**
   * Returns the addresses of the members with recent heartbeats, and of the scheduler's own.
   * Members that are leaving still answer callers, so they are included. Until all members have had
   * the time to send a heartbeat, those that the last scheduler listed are included, too.
   */
  Set<String> live(Instant now) {
    if (!now.isBefore(inheritedUntil)) {
      return live;
    }
    Set<String> members = new HashSet<>(inherited);
    members.addAll(live);
    members.add(selfAddress);
    return members;
  }
}
