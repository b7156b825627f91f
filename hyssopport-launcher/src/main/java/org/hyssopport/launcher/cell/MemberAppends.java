package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StoreWrite;

/**
 * Appends the entries that a member stores without a scheduler, in batches of which at most one is
 * in flight.
 *
 * <p>Answers the load of a cell that has lost its scheduler while the store is slow: the store
 * handles the appends to the journal one after the other, also the one with which the next
 * scheduler begins its term. If each request were appended by itself, the next term would wait
 * behind them all. A batch holds what has arrived since the last one was sent, and after a failure
 * the next one waits, since the store is behind.
 *
 * <p>The thread of one of the entries sends the batch; the threads of the others wait for it.
 */
final class MemberAppends {

  /** Half of the time after which the store refuses appends because too many wait. */
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofSeconds(1);

  private final MemberContext context;
  private Batch open = new Batch();
  private boolean appendInFlight;
  private Instant nextAppendAt = Instant.MIN;

  MemberAppends(MemberContext context) {
    this.context = context;
  }

  /** Entries that are appended together, and the result once it is known. */
  private static final class Batch {
    private final List<StoreWrite> writes = new ArrayList<>();
    private int bytes;
    private boolean sent;
    private Optional<Either<StoreFailure, Long>> result = Optional.empty();
  }

  /**
   * Appends an entry, with others that wait at the same time.
   *
   * @param entry the entry, which is one record
   * @param sendBy until when to wait for the batch to be sent
   * @return the result of the append, or empty if the entry was not sent in time and never will be
   */
  Optional<Either<StoreFailure, Long>> append(JournalEntry entry, Instant sendBy)
      throws InterruptedException {
    StoreWrite write = JournalCodec.encode(List.of(entry)).get(0);
    Batch batch;
    synchronized (this) {
      batch = add(write);
      while (!batch.sent && !isDue()) {
        if (!awaitUntil(sendBy) && !batch.sent) {
          batch.writes.remove(write);
          return Optional.empty();
        }
      }
      if (batch.sent) {
        return Optional.of(awaitResult(batch));
      }
      batch.sent = true;
      appendInFlight = true;
      if (open == batch) {
        open = new Batch();
      }
    }
    Either<StoreFailure, Long> result = send(batch);
    settle(batch, result);
    return Optional.of(result);
  }

  private Batch add(StoreWrite write) {
    int size = AppendLimit.sizeOf(write);
    if (!AppendLimit.fits(open.bytes, size)) {
      open = new Batch();
    }
    open.writes.add(write);
    open.bytes += size;
    return open;
  }

  private boolean isDue() {
    return !appendInFlight && !context.clock().instant().isBefore(nextAppendAt);
  }

  /** Waits until the state may have changed; returns false at once if the time is over. */
  private boolean awaitUntil(Instant time) throws InterruptedException {
    Instant now = context.clock().instant();
    Instant wakeAt = !appendInFlight && nextAppendAt.isBefore(time) ? nextAppendAt : time;
    long nanos = Duration.between(now, wakeAt).toNanos();
    if (!now.isBefore(time)) {
      return false;
    }
    TimeUnit.NANOSECONDS.timedWait(this, Math.max(1, nanos));
    return true;
  }

  private Either<StoreFailure, Long> awaitResult(Batch batch) throws InterruptedException {
    while (batch.result.isEmpty()) {
      wait();
    }
    return batch.result.get();
  }

  private Either<StoreFailure, Long> send(Batch batch) {
    try {
      return context.store().append(JournalCodec.TOPIC, batch.writes, Optional.empty());
    } catch (RuntimeException e) {
      context.log().write("journal append failed", Map.of("detail", e.toString()));
      return Either.left(new StoreFailure(StoreFailure.Kind.UNCERTAIN, e.toString()));
    }
  }

  private synchronized void settle(Batch batch, Either<StoreFailure, Long> result) {
    appendInFlight = false;
    batch.result = Optional.of(result);
    if (result.isLeft()) {
      // Members whose appends failed together do not come back together.
      long pauseMillis =
          ThreadLocalRandom.current().nextLong(1, PAUSE_AFTER_FAILURE.toMillis() + 1);
      nextAppendAt = context.clock().instant().plusMillis(pauseMillis);
    }
    notifyAll();
  }
}
