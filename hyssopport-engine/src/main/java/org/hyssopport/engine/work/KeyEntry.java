package org.hyssopport.engine.work;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.EntryId;

/**
 * The state of one caller's key.
 *
 * @param attempt the latest claimed attempt
 * @param claimant who runs it
 * @param expiry when the key may be forgotten
 * @param cause how the attempt ended, if it did
 * @param answer the kept answer
 * @since 0.1
 */
public record KeyEntry(
    int attempt,
    EntryId claimant,
    Instant expiry,
    Optional<CloseCause> cause,
    Optional<String> answer) {

  /** Tells whether another attempt may be claimed: the latest was proved not run. */
  public boolean isFree() {
    return cause.equals(Optional.of(CloseCause.NOT_RUN));
  }

  KeyEntry closed(CloseCause newCause, Optional<String> newAnswer) {
    return new KeyEntry(attempt, claimant, expiry, Optional.of(newCause), newAnswer);
  }
}
