package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.protocol.MemberMessage;

/**
 * How well the resources of a member suit a scheduler, the best rank first.
 *
 * <p>Optimised for a cell of unequal instances. Members that have all that a scheduler needs are of
 * one rank, however much more they have, so that leadership does not move between them.
 */
enum SchedulerRank {
  /** Has all that a scheduler needs. */
  SUITED(0, Duration.ZERO),
  /** Its link can't carry the orders of a busy cell; they reach the workers late. */
  NARROW_LINK(1, Duration.ofMillis(2250)),
  /** Its processors can't handle the events of a busy cell in time. */
  FEW_PROCESSORS(2, Duration.ofSeconds(3)),
  /** It lacks processors and a wide link, or may be killed for want of memory. */
  UNSUITED(3, Duration.ofSeconds(3));

  /**
   * The highest processor use of a scheduler with 250 workers and 440 starts a second, in cores.
   */
  static final double REQUIRED_PROCESSORS = 0.7;

  /**
   * What a scheduler with 250 workers and 440 starts a second sends, in Mbit/s, so that its link is
   * at most half used at the crest of the load.
   *
   * <p>For each start it sends an order (1,031 bytes with an input of 600 bytes), a poll (351
   * bytes), 350 bytes of records and a part of a call for advice (234 to 1,524 bytes a step, for
   * some six starts), and some 260 bytes of headers of packets: 2.2 kB, so 7.7 Mbit/s. The crest is
   * 1.55 times the mean. It receives less: 120 bytes for each order and poll without ended runs.
   */
  static final double REQUIRED_LINK_MEGABITS = 25;

  /** The heap of a member, 160 MiB by deploy/system.toml, and the rest of its process. */
  static final long REQUIRED_MEMORY_MEBIBYTES = 256;

  private final int number;
  private final Duration candidacyDelay;

  SchedulerRank(int number, Duration candidacyDelay) {
    this.number = number;
    this.candidacyDelay = candidacyDelay;
  }

  /** Returns the rank of the member with the given settings. */
  static SchedulerRank of(InstanceSettings settings) {
    return of(settings.processors(), settings.linkMegabitsPerSecond(), settings.memoryMebibytes());
  }

  /** Returns the rank of a member with the given cores, Mbit/s of its link, and MiB of memory. */
  static SchedulerRank of(double processors, double linkMegabits, long memoryMebibytes) {
    boolean wideLink = linkMegabits >= REQUIRED_LINK_MEGABITS;
    boolean enoughProcessors = processors >= REQUIRED_PROCESSORS;
    if (memoryMebibytes < REQUIRED_MEMORY_MEBIBYTES || (!wideLink && !enoughProcessors)) {
      return UNSUITED;
    }
    if (wideLink) {
      return enoughProcessors ? SUITED : FEW_PROCESSORS;
    }
    return NARROW_LINK;
  }

  /**
   * Returns the rank that the sender of a heartbeat states, or empty if it can't lead now.
   *
   * <p>A member of an earlier version states only whether it has the processors, so its link may be
   * narrow. A rank of a later version that is not known here says nothing.
   */
  static Optional<SchedulerRank> statedIn(MemberMessage.MemberHeartbeat heartbeat) {
    if (heartbeat.schedulerRank().isEmpty()) {
      return heartbeat.betterSuited() ? Optional.of(NARROW_LINK) : Optional.empty();
    }
    int stated = heartbeat.schedulerRank().get();
    return Arrays.stream(values()).filter(rank -> rank.number == stated).findFirst();
  }

  /** Returns the number that heartbeats state; the lower, the better. */
  int number() {
    return number;
  }

  boolean isBetterThan(SchedulerRank other) {
    return compareTo(other) < 0;
  }

  boolean isAtLeast(SchedulerRank other) {
    return compareTo(other) <= 0;
  }

  /**
   * Returns how long a member of this rank leaves the next term to better ones. A suited member
   * replaces a scheduler within {@link ElectionPolicy#USUAL_TAKE_OVER_TIME}, which the others
   * exceed by a half or by all of it.
   */
  Duration candidacyDelay() {
    return candidacyDelay;
  }
}
