package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides whether a member stands for the scheduler's seat.
 *
 * <p>The load pattern answered is a cell of unequal instances: a scheduler of some 250 workers
 * needs more of a processor than the smallest instances have. So members with enough of one always
 * stand, and the others only while no scheduler is heard for longer than a member with enough takes
 * to replace one. No member is set aside: all of them take callers.
 */
final class ElectionPolicy {

  /** A scheduler that was silent for so long is looked for anew; three messages lost. */
  static final Duration SCHEDULER_TIMEOUT = Duration.ofMillis(700);

  /** Cores that a scheduler of 250 workers and 440 starts a second needs, by the played days. */
  static final double REQUIRED_PROCESSORS = 0.7;

  /** Twice what a member with enough of a processor takes to replace a scheduler that died. */
  static final Duration FALLBACK_CANDIDACY_DELAY = Duration.ofSeconds(3);

  /** How long a stand-in keeps the seat after it has given it up once in vain. */
  static final Duration MINIMUM_HAND_OVER_INTERVAL = Duration.ofSeconds(10);

  private final boolean hasRequiredProcessors;
  private final Instant startedAt;
  private Instant earliestNextHandOver = Instant.MIN;

  private ElectionPolicy(boolean hasRequiredProcessors, Instant startedAt) {
    this.hasRequiredProcessors = hasRequiredProcessors;
    this.startedAt = startedAt;
  }

  /**
   * Returns the policy of a member.
   *
   * @param processors how many cores the member may use
   * @param startedAt when it started
   */
  static ElectionPolicy of(double processors, Instant startedAt) {
    return new ElectionPolicy(processors >= REQUIRED_PROCESSORS, startedAt);
  }

  /** Tells whether this member has what a scheduler needs. */
  boolean hasRequiredProcessors() {
    return hasRequiredProcessors;
  }

  /**
   * Tells whether this member takes part in the choice of the next scheduler.
   *
   * @param now the local steady clock
   * @param schedulerSeenAt when a scheduler was last heard
   * @param leading whether this member is the scheduler
   */
  boolean isCandidate(Instant now, Instant schedulerSeenAt, boolean leading) {
    Instant silentSince = schedulerSeenAt.isAfter(startedAt) ? schedulerSeenAt : startedAt;
    return hasRequiredProcessors
        || leading
        || !now.isBefore(silentSince.plus(FALLBACK_CANDIDACY_DELAY));
  }

  /**
   * Tells whether this member, which was dealt the seat, begins a term.
   *
   * <p>A member that has just started was not heard by the scheduler yet, nor has it heard one. It
   * waits for an answer of the last one that the store names, or a moment if none comes.
   *
   * @param now the local steady clock
   * @param schedulerSeenAt when a scheduler was last heard
   * @param schedulerHadStore whether that scheduler reached the store
   * @param lastContact what is known of the last scheduler that the store names
   */
  boolean mayBeginTerm(
      Instant now,
      Instant schedulerSeenAt,
      boolean schedulerHadStore,
      LastSchedulerContact lastContact) {
    boolean schedulerWorks =
        schedulerHadStore && now.isBefore(schedulerSeenAt.plus(SCHEDULER_TIMEOUT));
    boolean mayStillAnswer =
        lastContact == LastSchedulerContact.UNHEARD
            && now.isBefore(startedAt.plus(SCHEDULER_TIMEOUT));
    return !schedulerWorks && !mayStillAnswer;
  }

  /** What is known of the last scheduler that the store names. */
  enum LastSchedulerContact {
    /** The store names none, or this member. */
    NONE,
    /** It has not answered. */
    UNHEARD,
    /** It has said that it leads no more, or has been heard in this life. */
    KNOWN
  }

  /** Tells whether this member, as the scheduler, gives the seat up to a better one that is up. */
  boolean shouldHandOver(Instant now) {
    return !hasRequiredProcessors && !now.isBefore(earliestNextHandOver);
  }

  /** Notes that the seat was given up. */
  void recordHandOver(Instant now) {
    earliestNextHandOver = now.plus(MINIMUM_HAND_OVER_INTERVAL);
  }
}
