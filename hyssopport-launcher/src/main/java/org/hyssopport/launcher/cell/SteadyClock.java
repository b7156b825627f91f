package org.hyssopport.launcher.cell;

import java.time.Instant;
import java.time.InstantSource;

/** A clock that never steps: the time of day at the start plus the steady time since. */
final class SteadyClock implements InstantSource {

  private final Instant startedAt = Instant.now();
  private final long startNanos = System.nanoTime();

  @Override
  public Instant instant() {
    return startedAt.plusNanos(System.nanoTime() - startNanos);
  }
}
