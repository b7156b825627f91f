package org.hyssopport.engine.work;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.EntryId;

/**
 * The state of one caller's key.
 *
 * @param claimant who runs it
 * @param expiry when the key may be forgotten
 * @param cause how the attempt ended, if it did
 * @param answer the kept answer
 * @since 0.1
 */
public record KeyStatus(
    EntryId claimant, Instant expiry, Optional<CloseCause> cause, Optional<String> answer) {

  KeyStatus withCauseAndAnswer(CloseCause newCause, Optional<String> newAnswer) {
    return new KeyStatus(claimant, expiry, Optional.of(newCause), newAnswer);
  }
}
