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

  private static final String WRITER_NAME = "scheduler";

  /** The pause before an append that failed is repeated; a few answer times of the store. */
  private static final long RETRY_MILLIS = 40;

  private final MemberContext context;
  private final long term;
  private final Consumer<SchedulerEvent> eventSink;
  private final Consumer<String> onFenced;
  private final BlockingQueue<List<JournalEntry>> batches = new ArrayBlockingQueue<>(2);
  private final AtomicLong nextUnreadOffset;
  private long sequence;
  private boolean storeAvailable = true;

  /**
   * Creates the writer of a term.
   *
   * @param context what the duties share
   * @param term the term, which is the epoch of all appends
   * @param nextUnreadOffset the offset up to which the journal is known
   * @param eventSink takes what the scheduler has to know
   * @param onFenced takes the reason if a newer term exists
   */
  JournalWriter(
      MemberContext context,
      long term,
      AtomicLong nextUnreadOffset,
      Consumer<SchedulerEvent> eventSink,
      Consumer<String> onFenced) {
    this.context = context;
    this.term = term;
    this.nextUnreadOffset = nextUnreadOffset;
    this.eventSink = eventSink;
    this.onFenced = onFenced;
  }

  /** Shuts older terms out; returns whether that was done. */
  boolean fenceOlderTerms() {
    Either<StoreFailure, Long> result =
        context.store().append(JournalCodec.TOPIC, List.of(), Optional.of(stamp()));
    if (result.isLeft()) {
      context.log().write("journal not fenced", Map.of("detail", result.getLeft().detail()));
    }
    return result.isRight();
  }

  private WriterStamp stamp() {
    return new WriterStamp(WRITER_NAME, term, sequence);
  }

  /** Hands in the next batch; the scheduler has at most one on its way. */
  void submit(List<JournalEntry> batch) {
    if (!batches.offer(batch)) {
      throw new IllegalStateException("a batch is on its way already");
    }
  }

  void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        appendUntilSettled(JournalCodec.encode(batches.take()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void appendUntilSettled(List<StoreWrite> writes) throws InterruptedException {
    long startNanos = System.nanoTime();
    sequence++;
    boolean maybeStored = false;
    while (!Thread.currentThread().isInterrupted()) {
      Either<StoreFailure, Long> result =
          context.store().append(JournalCodec.TOPIC, writes, Optional.of(stamp()));
      if (result.isRight()) {
        onBatchStored(result.get(), writes.size(), startNanos);
        return;
      }
      StoreFailure failure = result.getLeft();
      boolean retryable =
          failure.kind() == StoreFailure.Kind.NOT_DONE
              || failure.kind() == StoreFailure.Kind.UNCERTAIN;
      if (!retryable) {
        onFenced.accept("journal: " + failure.kind() + " " + failure.detail());
        return;
      }
      maybeStored |= failure.kind() == StoreFailure.Kind.UNCERTAIN;
      if (!maybeStored) {
        onBatchRefused(failure);
        return;
      }
      updateStoreAvailability(false, failure.detail());
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
  }

  /** Gives a batch back that was surely not stored, so that its callers are told at once. */
  private void onBatchRefused(StoreFailure failure) throws InterruptedException {
    sequence--;
    context.log().write("batch refused", Map.of("detail", failure.detail()));
    TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    eventSink.accept(new SchedulerEvent.JournalBatchRefused());
  }

  private void onBatchStored(long offset, int records, long startNanos) {
    updateStoreAvailability(true, "");
    // Nothing foreign stands before the batch if the journal was known up to its first record.
    nextUnreadOffset.compareAndSet(offset, offset + records);
    context.metrics().recordStoreTime((System.nanoTime() - startNanos) / 1e9);
    eventSink.accept(new SchedulerEvent.JournalBatchStored());
  }

  private void updateStoreAvailability(boolean available, String detail) {
    if (available != storeAvailable) {
      storeAvailable = available;
      context
          .log()
          .write(
              storeAvailable ? "dependency regained" : "dependency lost",
              Map.of("dependency", "store, for the journal", "detail", detail));
      eventSink.accept(new SchedulerEvent.StoreAvailabilityChanged(storeAvailable));
    }
  }
}
