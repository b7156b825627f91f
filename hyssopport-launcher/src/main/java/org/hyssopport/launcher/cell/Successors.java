package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** The members that could replace the scheduler now, by their heartbeats. Thread-safe. */
final class Successors {

  /** After five lost heartbeats, a member may be gone. */
  private static final Duration HEARTBEAT_VALIDITY = Duration.ofSeconds(1);

  private final Map<String, Successor> byAddress = new ConcurrentHashMap<>();

  private record Successor(SchedulerRank rank, Instant expiresAt) {}

  /**
   * Records the heartbeat of a member.
   *
   * @param address its address
   * @param rank its rank, or empty if it can't lead now
   * @param now the current time by the local monotonic clock
   */
  void record(String address, Optional<SchedulerRank> rank, Instant now) {
    rank.ifPresentOrElse(
        stated -> byAddress.put(address, new Successor(stated, now.plus(HEARTBEAT_VALIDITY))),
        () -> byAddress.remove(address));
  }

  /** Returns the best rank among the members, or empty if there is none. */
  Optional<SchedulerRank> bestRank(Instant now) {
    byAddress.values().removeIf(successor -> !now.isBefore(successor.expiresAt()));
    return byAddress.values().stream().map(Successor::rank).min(SchedulerRank::compareTo);
  }
}
