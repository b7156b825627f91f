package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.hyssopport.platform.StoreFailure;

/** Whether the store answers the calls of this member. Thread-safe. */
final class StoreContact {

  private final MemberContext context;
  private volatile Instant answeredAt = Instant.MIN;
  private volatile boolean available = true;
  private volatile Instant regainedAt = Instant.MIN;

  StoreContact(MemberContext context) {
    this.context = context;
  }

  /** Records whether the store has answered a call of this member. */
  synchronized void record(Either<StoreFailure, ?> result) {
    if (result.isRight()) {
      answeredAt = context.clock().instant();
    }
    if (result.isRight() == available) {
      return;
    }
    available = result.isRight();
    if (available) {
      regainedAt = answeredAt;
    }
    String event = available ? "dependency regained" : "dependency lost";
    String detail = result.fold(StoreFailure::detail, answer -> "");
    context.log().write(event, Map.of("dependency", "store", "detail", detail));
  }

  /** Returns whether the store answered the last call. */
  boolean available() {
    return available;
  }

  /** Returns whether the store has answered within the given time. */
  boolean answeredWithin(Duration span) {
    return context.clock().instant().isBefore(answeredAt.plus(span));
  }

  /** Returns when the store last became available. */
  Instant regainedAt() {
    return regainedAt;
  }
}
