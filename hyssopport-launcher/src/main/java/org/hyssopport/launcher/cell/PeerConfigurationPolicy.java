package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Decides when a member asks another one for the configuration.
 *
 * <p>Answers the load of a store that turns some members away while operators withdraw keys: a
 * member that is turned away asks whoever states a newer version. A member that reaches the store
 * leaves the links to the others, as it is about to read the same version itself.
 */
final class PeerConfigurationPolicy {

  /**
   * How long a newer version may be known before a member that seems to reach the store asks for
   * it: a sixth of the time within which callers must find it in force. The store may have stopped
   * answering without a failure yet.
   */
  private static final Duration OWN_READ_GRACE = Duration.ofMillis(500);

  /**
   * When a request that brought nothing is repeated: a third of that time. Over a slow link the
   * answer takes part of it.
   */
  private static final Duration REPEAT_AFTER = Duration.ofSeconds(1);

  private long newestOffered = -1;
  private Instant behindSince = Instant.MIN;
  private Instant askAgainAt = Instant.MIN;

  /**
   * Decides whether to ask a member that states its version.
   *
   * @param offered the version that the other member states
   * @param held the version in force here, if there is one
   * @param storeReachable whether the last read of the configuration succeeded
   * @param now the local monotonic clock
   */
  synchronized boolean shouldAsk(
      long offered, Optional<Long> held, boolean storeReachable, Instant now) {
    if (held.filter(version -> version >= offered).isPresent()) {
      return false;
    }
    if (held.filter(version -> version < newestOffered).isEmpty()) {
      // Nothing newer was known until now.
      behindSince = now;
    }
    if (offered > newestOffered) {
      newestOffered = offered;
      askAgainAt = Instant.MIN;
    }
    boolean ownReadLate = !storeReachable || !now.isBefore(behindSince.plus(OWN_READ_GRACE));
    return ownReadLate && tryBegin(now);
  }

  /**
   * Decides whether to ask a member that has stated nothing.
   *
   * @param storeReachable whether the last read of the configuration succeeded
   * @param schedulerSeen whether the scheduler still states its version from time to time
   * @param now the local monotonic clock
   */
  synchronized boolean shouldAskAnyMember(
      boolean storeReachable, boolean schedulerSeen, Instant now) {
    return !storeReachable && !schedulerSeen && tryBegin(now);
  }

  private boolean tryBegin(Instant now) {
    if (now.isBefore(askAgainAt)) {
      return false;
    }
    askAgainAt = now.plus(REPEAT_AFTER);
    return true;
  }
}
