package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import org.hyssopport.platform.GroupAssignment;
import org.hyssopport.platform.StoreFailure;

/**
 * This member's place in the group of candidates, whose only partition the store assigns to one of
 * them.
 */
final class SchedulerGroup {

  /** The only partition; its owner makes sure that there is a scheduler. */
  static final int LEADER_PARTITION = 0;

  private static final String GROUP = "schedulers";
  private static final String ELECTION_TOPIC = "scheduler-seats";

  /** Outlasts three lost joins; the store's minimum is used instead if it is longer. */
  private static final Duration MEMBERSHIP_TIME_TO_LIVE = Duration.ofSeconds(1);

  private final MemberContext context;
  private final String selfAddress;
  private boolean joined;
  private long generation;

  SchedulerGroup(MemberContext context) {
    this.context = context;
    this.selfAddress = context.settings().peerAddress();
  }

  /** Returns whether a join may have reached the store since the member last left. */
  boolean joined() {
    return joined;
  }

  /** Joins the group, or keeps the member in it. */
  Either<StoreFailure, GroupAssignment> join() {
    joined = true;
    Duration minimum = context.settings().minimumMembershipTimeToLive();
    Duration timeToLive =
        minimum.compareTo(MEMBERSHIP_TIME_TO_LIVE) > 0 ? minimum : MEMBERSHIP_TIME_TO_LIVE;
    return context.store().join(GROUP, selfAddress, ELECTION_TOPIC, timeToLive, generation);
  }

  /**
   * Takes over the generation of an assignment.
   *
   * @return whether it is a new one; the store returns a member's partitions only to a call with
   *     the current generation
   */
  boolean updateGeneration(GroupAssignment assignment) {
    boolean changed = generation != assignment.generation();
    generation = assignment.generation();
    return changed;
  }

  void leave() {
    context
        .store()
        .leave(GROUP, selfAddress)
        .ifPresent(
            failure ->
                context
                    .log()
                    .write(
                        "scheduler group not left; the membership ends when it expires",
                        Map.of("detail", failure.detail())));
    joined = false;
    generation = 0;
  }
}
