package org.hyssopport.engine.work;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.EntryId;

/**
 * The state of one caller's idempotency key.
 *
 * @param claimant the entry instance that runs the request
 * @param expiry the time after which the key may be evicted
 * @param cause how the run ended, or empty while it has not been closed
 * @param answer the stored answer; empty if there is none or it was too long to store
 * @since 0.1
 */
public record KeyStatus(
    EntryId claimant, Instant expiry, Optional<CloseCause> cause, Optional<String> answer) {

  KeyStatus withCauseAndAnswer(CloseCause newCause, Optional<String> newAnswer) {
    return new KeyStatus(claimant, expiry, Optional.of(newCause), newAnswer);
  }
}
