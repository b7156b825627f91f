package org.hyssopport.launcher.cell;

import io.vavr.control.Either;
import java.time.Instant;
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

/**
 * Appends the batches of one term to the journal, one after the other.
 *
 * <p>An append whose outcome is uncertain is repeated until the outcome is known. The thread of the
 * scheduler submits the batches; a thread of the {@link SchedulerTerm} appends them.
 */
final class JournalWriter {

  private static final String WRITER_NAME = "scheduler";

  /** Ten times as long as the store usually takes to answer. */
  private static final long RETRY_MILLIS = 40;

  private final MemberContext context;
  private final long term;
  private final Consumer<SchedulerEvent> eventSink;
  private final Consumer<String> onAppendRejected;
  private final BlockingQueue<List<JournalEntry>> batches = new ArrayBlockingQueue<>(2);
  private final AtomicLong nextUnreadOffset;
  private volatile Optional<Instant> submittedAt = Optional.empty();
  private long sequence;
  private boolean storeAvailable = true;

  /**
   * Creates the writer of a term.
   *
   * @param context what the components of the member share
   * @param term the term, which is the epoch of all appends
   * @param nextUnreadOffset the offset of the next journal record to read, shared with the thread
   *     that reads the entries of other members
   * @param eventSink receives the events for the scheduler
   * @param onAppendRejected receives the reason when the store rejects an append for good, as it
   *     does once a newer term exists
   */
  JournalWriter(
      MemberContext context,
      long term,
      AtomicLong nextUnreadOffset,
      Consumer<SchedulerEvent> eventSink,
      Consumer<String> onAppendRejected) {
    this.context = context;
    this.term = term;
    this.nextUnreadOffset = nextUnreadOffset;
    this.eventSink = eventSink;
    this.onAppendRejected = onAppendRejected;
  }

  /**
   * Records this term in the journal, from which the scheduler of an older term learns that its own
   * is over, and makes the store reject appends of older terms.
   *
   * @return whether the store confirmed it; false if a newer term has done the same
   */
  boolean recordTerm() {
    Either<StoreFailure, Long> offset =
        context
            .store()
            .append(
                JournalCodec.TOPIC, List.of(JournalCodec.termRecord(term)), Optional.of(stamp()));
    return isConfirmed(offset.isLeft() ? Optional.of(offset.getLeft()) : Optional.empty());
  }

  /**
   * Makes the store reject appends of older terms, by an empty append with this term's number.
   *
   * @return whether the store confirmed it; false if a newer term has done the same
   */
  boolean fenceOlderTerms() {
    return isConfirmed(context.store().fence(JournalCodec.TOPIC, stamp()));
  }

  private boolean isConfirmed(Optional<StoreFailure> failure) {
    failure.ifPresent(
        reason ->
            context
                .log()
                .write(
                    "term not begun: journal not fenced against older terms",
                    Map.of("term", term, "detail", reason.detail())));
    return failure.isEmpty();
  }

  private WriterStamp stamp() {
    return new WriterStamp(WRITER_NAME, term, sequence);
  }

  /** Queues a batch; the scheduler waits for its outcome before it submits the next one. */
  void submit(List<JournalEntry> batch) {
    submittedAt = Optional.of(context.clock().instant());
    if (!batches.offer(batch)) {
      throw new IllegalStateException(
          "the queue of batches is full: earlier ones have not been appended yet");
    }
  }

  /** Returns when the batch whose outcome is awaited was submitted, if there is one. */
  Optional<Instant> awaitingSince() {
    return submittedAt;
  }

  /** Appends the submitted batches until the thread is interrupted. */
  void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        appendBatch(JournalCodec.encode(batches.take()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Appends a batch in as many appends as the store's limit requires. The callers learn of a batch
   * only once all of it is stored. Its entries are of one moment and in the order of their
   * dependence, so a scheduler that finds only the first of them takes over a sound state.
   */
  private void appendBatch(List<StoreWrite> writes) throws InterruptedException {
    long startNanos = System.nanoTime();
    boolean partlyStored = false;
    Instant sentAt = Instant.MIN;
    for (List<StoreWrite> part : AppendLimit.split(writes)) {
      Optional<Instant> storedPartSentAt = appendUntilSettled(part, partlyStored);
      if (storedPartSentAt.isEmpty()) {
        return;
      }
      sentAt = storedPartSentAt.get();
      partlyStored = true;
    }
    context.metrics().recordStoreTime((System.nanoTime() - startNanos) / 1e9);
    submittedAt = Optional.empty();
    eventSink.accept(new SchedulerEvent.JournalBatchStored(sentAt));
  }

  /**
   * Appends a part of a batch.
   *
   * @param writes the records
   * @param partlyStored whether an earlier part is stored, so that the batch can't be refused
   * @return when the append was sent that the store confirmed; empty if the batch was refused or
   *     the term is over
   */
  private Optional<Instant> appendUntilSettled(List<StoreWrite> writes, boolean partlyStored)
      throws InterruptedException {
    sequence++;
    boolean maybeStored = partlyStored;
    while (!Thread.currentThread().isInterrupted()) {
      Instant sentAt = context.clock().instant();
      Either<StoreFailure, Long> result =
          context.store().append(JournalCodec.TOPIC, writes, Optional.of(stamp()));
      if (result.isRight()) {
        onPartStored(result.get(), writes.size());
        return Optional.of(sentAt);
      }
      StoreFailure failure = result.getLeft();
      boolean retryable =
          failure.kind() == StoreFailure.Kind.NOT_DONE
              || failure.kind() == StoreFailure.Kind.UNCERTAIN;
      if (!retryable) {
        onAppendRejected.accept("journal: " + failure.kind() + " " + failure.detail());
        return Optional.empty();
      }
      maybeStored |= failure.kind() == StoreFailure.Kind.UNCERTAIN;
      if (!maybeStored) {
        onBatchRefused(failure);
        return Optional.empty();
      }
      updateStoreAvailability(false, failure.detail());
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
    return Optional.empty();
  }

  /**
   * Returns a batch that was certainly not stored to the scheduler, so that its callers are
   * answered at once. The next batch uses the same sequence number.
   */
  private void onBatchRefused(StoreFailure failure) throws InterruptedException {
    sequence--;
    context
        .log()
        .write(
            "journal batch not stored; returned to the scheduler",
            Map.of("detail", failure.detail()));
    TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    submittedAt = Optional.empty();
    eventSink.accept(new SchedulerEvent.JournalBatchRefused());
  }

  private void onPartStored(long offset, int records) {
    updateStoreAvailability(true, "");
    // If the journal has been read up to the batch, reading continues after it. Otherwise there are
    // unread entries of other members before it.
    nextUnreadOffset.compareAndSet(offset, offset + records);
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
