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
  static final Duration SILENCE = Duration.ofMillis(700);

  /** Cores that a scheduler of 250 workers and 440 starts a second needs, by the played days. */
  static final double ENOUGH_PROCESSORS = 0.7;

  /** Twice what a member with enough of a processor takes to replace a scheduler that died. */
  static final Duration STAND_IN_AFTER = Duration.ofSeconds(3);

  /** How long a stand-in keeps the seat after it has given it up once in vain. */
  static final Duration BETWEEN_HAND_OVERS = Duration.ofSeconds(10);

  private final boolean enough;
  private final Instant startedAt;
  private Instant nextHandOver = Instant.MIN;

  private ElectionPolicy(boolean enough, Instant startedAt) {
    this.enough = enough;
    this.startedAt = startedAt;
  }

  /**
   * Returns the policy of a member.
   *
   * @param processors how many cores the member may use
   * @param startedAt when it started
   */
  static ElectionPolicy of(double processors, Instant startedAt) {
    return new ElectionPolicy(processors >= ENOUGH_PROCESSORS, startedAt);
  }

  /** Tells whether this member has what a scheduler needs. */
  boolean hasEnough() {
    return enough;
  }

  /**
   * Tells whether this member takes part in the choice of the next scheduler.
   *
   * @param now the local steady clock
   * @param heardAt when a scheduler was last heard
   * @param leading whether this member is the scheduler
   */
  boolean stands(Instant now, Instant heardAt, boolean leading) {
    Instant quietSince = heardAt.isAfter(startedAt) ? heardAt : startedAt;
    return enough || leading || !now.isBefore(quietSince.plus(STAND_IN_AFTER));
  }

  /**
   * Tells whether this member, which was dealt the seat, begins a term.
   *
   * <p>A member that has just started was not heard by the scheduler yet, nor has it heard one. It
   * waits for an answer of the last one that the store names, or a moment if none comes.
   *
   * @param now the local steady clock
   * @param heardAt when a scheduler was last heard
   * @param heardWithStore whether that scheduler reached the store
   * @param last what is known of the last scheduler that the store names
   */
  boolean begins(Instant now, Instant heardAt, boolean heardWithStore, LastSchedulerContact last) {
    boolean served = heardWithStore && now.isBefore(heardAt.plus(SILENCE));
    boolean mayAnswerYet =
        last == LastSchedulerContact.UNHEARD && now.isBefore(startedAt.plus(SILENCE));
    return !served && !mayAnswerYet;
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
  boolean yields(Instant now) {
    return !enough && !now.isBefore(nextHandOver);
  }

  /** Notes that the seat was given up. */
  void yielded(Instant now) {
    nextHandOver = now.plus(BETWEEN_HAND_OVERS);
  }
}
