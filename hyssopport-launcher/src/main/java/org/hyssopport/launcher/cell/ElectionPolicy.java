package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether a member is a candidate in the election of the scheduler, begins a term, and
 * hands over leadership.
 *
 * <p>Optimised for a cell of unequal instances: a scheduler of some 250 workers needs more than the
 * smallest instances have, as {@link SchedulerRank} says. Suited members are always candidates; the
 * others become candidates, by rank, only after a scheduler has been silent for longer than a
 * suited member takes to replace one. All members serve callers, whether they are candidates or
 * not.
 */
final class ElectionPolicy {

  /** After three lost heartbeats, the scheduler is no longer considered alive. */
  static final Duration SCHEDULER_TIMEOUT = Duration.ofMillis(700);

  /** How long a suited member takes to replace a scheduler whose loss is known. */
  static final Duration USUAL_TAKE_OVER_TIME = Duration.ofMillis(1500);

  /**
   * The least time between two hand-overs by a member, which gets leadership back if no better
   * ranked one takes over.
   */
  static final Duration MINIMUM_HAND_OVER_INTERVAL = Duration.ofSeconds(10);

  /** Twice the time that a suited member takes to replace a scheduler. */
  static final Duration HAND_OVER_CANDIDACY_DELAY = Duration.ofSeconds(3);

  /**
   * The least time between two hand-overs by schedulers of the cell that can't keep up. If the next
   * one can't either, the load is too high for all, and each hand-over costs a second of it.
   */
  static final Duration MINIMUM_CONGESTION_HAND_OVER_INTERVAL = Duration.ofSeconds(60);

  /**
   * How long after the store's return a scheduler may take to report that it reaches the store: a
   * call that hangs is given up after 0.9 s, and the next heartbeat is answered within 0.3 s.
   */
  static final Duration STORE_REGAIN_TIME = Duration.ofMillis(1200);

  /** A membership call counts as a tenth of a call against the store's price and rate limit. */
  private static final Duration JOIN_INTERVAL = Duration.ofMillis(300);

  /**
   * Applies while there is no scheduler: after members have joined or left, the store reassigns the
   * partition only once its owner and the next one have called again.
   */
  private static final Duration JOIN_INTERVAL_WITHOUT_SCHEDULER = Duration.ofMillis(100);

  private final SchedulerRank rank;
  private final Instant startedAt;
  private Instant earliestNextHandOver = Instant.MIN;
  private Instant candidateAgainFrom = Instant.MIN;
  private volatile Instant earliestNextCongestionHandOver = Instant.MIN;

  private ElectionPolicy(SchedulerRank rank, Instant startedAt) {
    this.rank = rank;
    this.startedAt = startedAt;
  }

  /**
   * Returns the policy of a member.
   *
   * @param rank how well it suits a scheduler
   * @param startedAt when it started, by the local monotonic clock
   */
  static ElectionPolicy of(SchedulerRank rank, Instant startedAt) {
    return new ElectionPolicy(rank, startedAt);
  }

  /** Returns how well this member suits a scheduler. */
  SchedulerRank rank() {
    return rank;
  }

  /**
   * Returns whether this member is a candidate for the next scheduler.
   *
   * @param now the current time by the local monotonic clock
   * @param schedulerSeenAt when the last heartbeat of a scheduler arrived
   * @param storeRegainedAt when the store last became available to this member; until then, no
   *     suited member could replace the scheduler
   * @param leading whether this member is the scheduler
   */
  boolean isCandidate(
      Instant now, Instant schedulerSeenAt, Instant storeRegainedAt, boolean leading) {
    Instant replaceableSince = latest(startedAt, schedulerSeenAt, storeRegainedAt);
    if (leading) {
      return true;
    }
    return !now.isBefore(candidateAgainFrom)
        && (rank == SchedulerRank.SUITED
            || !now.isBefore(replaceableSince.plus(rank.candidacyDelay())));
  }

  private static Instant latest(Instant... instants) {
    return Collections.max(List.of(instants));
  }

  /**
   * What this member knows of the scheduler.
   *
   * @param seenAt when the last heartbeat of a scheduler arrived
   * @param leads whether the last word of the scheduler was that it leads
   * @param reachedStore whether it reported then that the store answers
   * @param last what is known of the last scheduler that the store names
   */
  record SchedulerContact(
      Instant seenAt, boolean leads, boolean reachedStore, LastSchedulerContact last) {}

  /**
   * Returns whether this member, which owns the election partition, may begin a term.
   *
   * <p>A member that has just started has exchanged no heartbeats with the scheduler yet. If the
   * store names a scheduler, the member first waits for its answer, for at most {@link
   * #SCHEDULER_TIMEOUT} from its start. When the store returns, this member may reach it before the
   * scheduler does: it gives a scheduler that leads the same chance.
   *
   * @param now the current time by the local monotonic clock
   * @param contact what is known of the scheduler
   * @param storeRegainedAt when the store last became available to this member
   */
  boolean mayBeginTerm(Instant now, SchedulerContact contact, Instant storeRegainedAt) {
    boolean alive = now.isBefore(contact.seenAt().plus(SCHEDULER_TIMEOUT));
    boolean mayReachStoreSoon =
        contact.leads() && now.isBefore(storeRegainedAt.plus(STORE_REGAIN_TIME));
    boolean mayStillAnswer =
        contact.last() == LastSchedulerContact.NOT_ANSWERED
            && now.isBefore(startedAt.plus(SCHEDULER_TIMEOUT));
    boolean works = alive && (contact.reachedStore() || mayReachStoreSoon);
    return !works && !mayStillAnswer;
  }

  /**
   * Returns how long a member waits between two calls that keep it in the group.
   *
   * @param schedulerKnown whether there is a scheduler
   * @param storeAvailable whether the store answers
   */
  static Duration joinInterval(boolean schedulerKnown, boolean storeAvailable) {
    return schedulerKnown || !storeAvailable ? JOIN_INTERVAL : JOIN_INTERVAL_WITHOUT_SCHEDULER;
  }

  /** What is known of the last scheduler that the store names. */
  enum LastSchedulerContact {
    /** The store names no scheduler, or this member itself. */
    NONE,
    /** It has not answered since this member started. */
    NOT_ANSWERED,
    /** It has answered since this member started, as a scheduler or as one that no longer leads. */
    ANSWERED;

    static LastSchedulerContact of(boolean named, boolean answered) {
      if (!named) {
        return NONE;
      }
      return answered ? ANSWERED : NOT_ANSWERED;
    }
  }

  /** Why a scheduler hands over. */
  enum HandOverReason {
    /** A better ranked member is available. */
    BETTER_RANK("a better ranked member is available"),
    /** It can't keep up, and a member that ranks as well might. */
    CONGESTED("can't keep up with the load");

    private final String text;

    HandOverReason(String text) {
      this.text = text;
    }

    /** Returns the reason as the log states it. */
    String text() {
      return text;
    }
  }

  /**
   * Returns why this member, as the scheduler, hands over now, or empty if it does not.
   *
   * @param now the current time by the local monotonic clock
   * @param bestSuccessor the best rank among the other members that reach the store
   * @param termBegunAt when the term of this member began
   * @param congested whether its queues show that it can't keep up
   */
  Optional<HandOverReason> handOverReason(
      Instant now, Optional<SchedulerRank> bestSuccessor, Instant termBegunAt, boolean congested) {
    if (shouldHandOver(now, bestSuccessor)) {
      return Optional.of(HandOverReason.BETTER_RANK);
    }
    return congested && shouldHandOverCongestion(now, bestSuccessor, termBegunAt)
        ? Optional.of(HandOverReason.CONGESTED)
        : Optional.empty();
  }

  /**
   * Returns whether this member, as the scheduler, hands over to a better ranked member now.
   *
   * @param now the current time by the local monotonic clock
   * @param bestSuccessor the best rank among the other members that reach the store
   */
  boolean shouldHandOver(Instant now, Optional<SchedulerRank> bestSuccessor) {
    return bestSuccessor.filter(other -> other.isBetterThan(rank)).isPresent()
        && !now.isBefore(earliestNextHandOver);
  }

  /**
   * Returns whether this member, as a scheduler that can't keep up, hands over to a member that
   * ranks as well or better now.
   *
   * @param now the current time by the local monotonic clock
   * @param bestSuccessor the best rank among the other members that reach the store
   * @param termBegunAt when the term of this member began
   */
  boolean shouldHandOverCongestion(
      Instant now, Optional<SchedulerRank> bestSuccessor, Instant termBegunAt) {
    return bestSuccessor.filter(other -> other.isAtLeast(rank)).isPresent()
        && !now.isBefore(termBegunAt.plus(MINIMUM_HAND_OVER_INTERVAL))
        && !now.isBefore(earliestNextCongestionHandOver);
  }

  /** Records that this member hands over leadership, and leaves the next term to others. */
  void recordHandOver(Instant now, HandOverReason reason) {
    if (reason == HandOverReason.CONGESTED) {
      recordCongestionHandOver(now);
    }
    earliestNextHandOver = now.plus(MINIMUM_HAND_OVER_INTERVAL);
    candidateAgainFrom = now.plus(HAND_OVER_CANDIDACY_DELAY);
  }

  /** Records that a scheduler, this member or another one, handed over since it can't keep up. */
  void recordCongestionHandOver(Instant now) {
    earliestNextCongestionHandOver = now.plus(MINIMUM_CONGESTION_HAND_OVER_INTERVAL);
  }
}
