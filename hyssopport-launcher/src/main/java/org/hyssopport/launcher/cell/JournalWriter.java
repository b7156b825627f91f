package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.platform.StoreFailure;
import org.hyssopport.platform.StoreWrite;
import org.hyssopport.platform.WriterStamp;

/** Appends the batches of one term to the journal, each until its fate is known. */
final class JournalWriter {

  private static final String WRITER = "scheduler";

  /** The pause before an append that failed is repeated; a few answer times of the store. */
  private static final long RETRY_MILLIS = 40;

  private final MemberContext context;
  private final long term;
  private final Consumer<SchedulerEvent> events;
  private final Consumer<String> fenced;
  private final BlockingQueue<List<JournalEntry>> batches = new ArrayBlockingQueue<>(2);
  private final AtomicLong followedUpTo;
  private long sequence;
  private boolean well = true;

  /**
   * Creates the writer of a term.
   *
   * @param context what the duties share
   * @param term the term, which is the epoch of all appends
   * @param followedUpTo the offset up to which the journal is known
   * @param events takes what the scheduler has to know
   * @param fenced takes the reason if a newer term exists
   */
  JournalWriter(
      MemberContext context,
      long term,
      AtomicLong followedUpTo,
      Consumer<SchedulerEvent> events,
      Consumer<String> fenced) {
    this.context = context;
    this.term = term;
    this.followedUpTo = followedUpTo;
    this.events = events;
    this.fenced = fenced;
  }

  /** Shuts older terms out; returns whether that was done. */
  boolean fence() {
    Either<StoreFailure, Long> result =
        context.store().append(JournalCodec.TOPIC, List.of(), Optional.of(stamp()));
    if (result.isLeft()) {
      context.log().write("journal not fenced", Map.of("detail", result.getLeft().detail()));
    }
    return result.isRight();
  }

  private WriterStamp stamp() {
    return new WriterStamp(WRITER, term, sequence);
  }

  /** Hands in the next batch; the scheduler has at most one on its way. */
  void offer(List<JournalEntry> batch) {
    if (!batches.offer(batch)) {
      throw new IllegalStateException("a batch is on its way already");
    }
  }

  void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        store(JournalCodec.encode(batches.take()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void store(List<StoreWrite> writes) throws InterruptedException {
    long begun = System.nanoTime();
    sequence++;
    boolean uncertain = false;
    while (!Thread.currentThread().isInterrupted()) {
      Either<StoreFailure, Long> result =
          context.store().append(JournalCodec.TOPIC, writes, Optional.of(stamp()));
      if (result.isRight()) {
        stored(result.get(), writes.size(), begun);
        return;
      }
      StoreFailure failure = result.getLeft();
      boolean mayRepeat =
          failure.kind() == StoreFailure.Kind.NOT_DONE
              || failure.kind() == StoreFailure.Kind.UNCERTAIN;
      if (!mayRepeat) {
        fenced.accept("journal: " + failure.kind() + " " + failure.detail());
        return;
      }
      uncertain |= failure.kind() == StoreFailure.Kind.UNCERTAIN;
      if (!uncertain) {
        refused(failure);
        return;
      }
      changed(false, failure.detail());
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
  }

  /** Gives a batch back that was surely not stored, so that its callers are told at once. */
  private void refused(StoreFailure failure) throws InterruptedException {
    sequence--;
    context.log().write("batch refused", Map.of("detail", failure.detail()));
    TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    events.accept(new SchedulerEvent.JournalBatchRefused());
  }

  private void stored(long offset, int records, long begun) {
    changed(true, "");
    // Nothing foreign stands before the batch if the journal was known up to its first record.
    followedUpTo.compareAndSet(offset, offset + records);
    context.metrics().observeStore((System.nanoTime() - begun) / 1e9);
    events.accept(new SchedulerEvent.JournalBatchStored());
  }

  private void changed(boolean nowWell, String detail) {
    if (nowWell != well) {
      well = nowWell;
      context
          .log()
          .write(
              well ? "dependency regained" : "dependency lost",
              Map.of("dependency", "store, for the journal", "detail", detail));
      events.accept(new SchedulerEvent.StoreAvailabilityChanged(well));
    }
  }
}
