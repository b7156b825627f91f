package org.hyssopport.launcher.cell;

import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never jumps: the wall-clock time of its creation plus the monotonic time since then.
 */
final class MonotonicClock implements InstantSource {

  private final Instant startedAt = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return startedAt.plusNanos(System.nanoTime() - startNanos);
  }
}
