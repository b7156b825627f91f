package org.hyssopport.launcher;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue with any number of producer threads and a single consumer thread.
 *
 * @param <T> the type of the elements
 */
public final class BoundedQueue<T> {

  private static final long PAUSE_WHILE_FULL_NANOS = Duration.ofMillis(1).toNanos();

  private final MpscArrayQueue<T> queue;
  private volatile Thread parkedConsumer;

  /**
   * Creates a queue.
   *
   * @param capacity the largest number of elements
   */
  public BoundedQueue(int capacity) {
    this.queue = new MpscArrayQueue<>(capacity);
  }

  /** Adds an element and returns true, or returns false if the queue is full. */
  public boolean offer(T element) {
    boolean added = queue.offer(element);
    Thread consumer = parkedConsumer;
    if (consumer != null) {
      LockSupport.unpark(consumer);
    }
    return added;
  }

  /** Adds an element, blocking while the queue is full. */
  public void put(T element) {
    while (!offer(element)) {
      LockSupport.parkNanos(PAUSE_WHILE_FULL_NANOS);
    }
  }

  /** Removes and returns the next element, or returns empty without waiting. */
  public Optional<T> poll() {
    return Optional.ofNullable(queue.poll());
  }

  /**
   * Removes and returns the next element, waiting for one if the queue is empty.
   *
   * <p>May be called only by the consumer thread, which producers wake up. The wait may end early.
   *
   * @param waitNanos the longest wait in nanoseconds; 0 or less doesn't wait
   * @return the element, or empty if the wait ended without one
   */
  public Optional<T> poll(long waitNanos) {
    T element = queue.poll();
    if (element != null || waitNanos <= 0) {
      return Optional.ofNullable(element);
    }
    parkedConsumer = Thread.currentThread();
    if (queue.isEmpty()) {
      LockSupport.parkNanos(this, waitNanos);
    }
    parkedConsumer = null;
    return Optional.ofNullable(queue.poll());
  }

  /** Returns the number of queued elements. */
  public int size() {
    return queue.size();
  }
}
