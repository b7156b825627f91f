package org.hyssopport.engine.worker;

import java.time.Instant;
import java.util.Optional;

/**
 * What the answers of a worker show about whether one of its incarnations still runs.
 *
 * <p>Calls name the worker but not its incarnation, so a later one may answer them. An answer to an
 * order states no incarnation, but the clock of each one starts anew and never runs back.
 */
final class IncarnationEvidence {

  /** The last reading of the clock of this incarnation, in milliseconds. */
  private Optional<Long> latestClockMillis = Optional.empty();

  private Instant latestReportAt = Instant.MIN;
  private Optional<Instant> doubtfulSince = Optional.empty();
  private Optional<Instant> replacedSince = Optional.empty();

  private IncarnationEvidence() {}

  /** Returns the evidence before the first answer. */
  static IncarnationEvidence none() {
    return new IncarnationEvidence();
  }

  Optional<Long> latestClockMillis() {
    return latestClockMillis;
  }

  /** Records that a call got no answer, or one that may have come from a later incarnation. */
  void recordDoubt(Instant now) {
    doubtfulSince = Optional.of(now);
  }

  /** Records that a later incarnation has answered a call. */
  void recordReplacement(Instant now) {
    replacedSince = Optional.of(now);
  }

  /**
   * Records a report of this incarnation. It settles only what was open when it was requested.
   *
   * @param clockMillis the reading of the worker's clock in the report
   * @param requestedAt when the poll that it answers was sent, by the local monotonic clock
   * @param now when it arrived, by the local monotonic clock
   */
  void recordReport(long clockMillis, Instant requestedAt, Instant now) {
    latestClockMillis = Optional.of(Math.max(clockMillis, latestClockMillis.orElse(clockMillis)));
    latestReportAt = now;
    doubtfulSince = doubtfulSince.filter(requestedAt::isBefore);
    replacedSince = replacedSince.filter(requestedAt::isBefore);
  }

  /** Returns whether the clock in a report ran back since the report before it had arrived. */
  boolean ranBack(long clockMillis, Instant requestedAt) {
    return !requestedAt.isBefore(latestReportAt)
        && latestClockMillis.filter(latest -> clockMillis < latest).isPresent();
  }

  /** Returns whether this incarnation has answered the last call and no later one has answered. */
  boolean isConfirmed() {
    return doubtfulSince.isEmpty() && replacedSince.isEmpty();
  }

  /** Returns whether a later incarnation has answered. */
  boolean isReplaced() {
    return replacedSince.isPresent();
  }
}
