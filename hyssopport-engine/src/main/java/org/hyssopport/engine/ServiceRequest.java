package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;

/**
 * A request to a service, as a caller states it.
 *
 * @param service the service's class name
 * @param deadline until when the caller waits, if other than its service states
 * @param repeatable whether running it twice does no harm
 * @param ticket a ticket under which it runs at most once
 * @param key a key of the caller's own under which it runs at most once
 * @param keyExpiry when the key may be forgotten; part of the key
 * @param body what the service is given
 * @since 0.1
 */
public record ServiceRequest(
    String service,
    Optional<Instant> deadline,
    boolean repeatable,
    Optional<String> ticket,
    Optional<String> key,
    Optional<Instant> keyExpiry,
    String body) {

  /** Tells whether a ticket or a key allows one run at most. */
  boolean runsAtMostOnce() {
    return ticket.isPresent() || key.isPresent();
  }

  /** Returns this request with a deadline. */
  ServiceRequest withDeadline(Instant newDeadline) {
    return new ServiceRequest(
        service, Optional.of(newDeadline), repeatable, ticket, key, keyExpiry, body);
  }

  /** Returns the key and its expiry in one text. */
  Optional<String> keyWithExpiry() {
    return key.map(text -> text + "!" + keyExpiry.map(Instant::toEpochMilli).orElse(0L));
  }
}
