package org.hyssopport.engine;

import java.time.Instant;
import java.util.Optional;

/**
 * A request to a service, as submitted by a caller.
 *
 * @param service the name of the service's work class
 * @param deadline when the caller stops waiting; now plus the patience of the class if empty
 * @param repeatable whether running it more than once does no harm
 * @param ticket the ticket under which it runs at most once, if any
 * @param key the caller's idempotency key under which it runs at most once, if any
 * @param keyExpiry when the key may be forgotten; the same key with another expiry is another key
 * @param body the body that is passed to the service
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

  /** Returns whether the request has a ticket or a key, so that it runs at most once. */
  boolean runsAtMostOnce() {
    return ticket.isPresent() || key.isPresent();
  }

  /** Returns a copy of this request with another deadline. */
  ServiceRequest withDeadline(Instant newDeadline) {
    return new ServiceRequest(
        service, Optional.of(newDeadline), repeatable, ticket, key, keyExpiry, body);
  }

  /** Returns the key joined with its expiry, which identifies the key in the log. */
  Optional<String> keyWithExpiry() {
    return key.map(text -> text + "!" + keyExpiry.map(Instant::toEpochMilli).orElse(0L));
  }
}
