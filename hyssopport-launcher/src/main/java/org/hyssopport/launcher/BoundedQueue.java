package org.hyssopport.launcher;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/** A bounded ring from many threads to the one thread of a duty. */
public final class BoundedQueue<T> {

  private static final long FULL_PAUSE_NANOS = Duration.ofMillis(1).toNanos();

  private final MpscArrayQueue<T> queue;
  private volatile Thread parkedConsumer;

  /** Creates a ring of a size. */
  public BoundedQueue(int size) {
    this.queue = new MpscArrayQueue<>(size);
  }

  /** Adds an element; returns false if the ring is full. */
  public boolean offer(T element) {
    boolean added = queue.offer(element);
    Thread consumer = parkedConsumer;
    if (consumer != null) {
      LockSupport.unpark(consumer);
    }
    return added;
  }

  /** Adds an element, waiting for room. */
  public void put(T element) {
    while (!offer(element)) {
      LockSupport.parkNanos(FULL_PAUSE_NANOS);
    }
  }

  /** Takes an element, if there is one. */
  public Optional<T> poll() {
    return Optional.ofNullable(queue.poll());
  }

  /** Takes an element, waiting for one; only the duty's own thread may call it. */
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

  /** Returns how many elements wait. */
  public int size() {
    return queue.size();
  }
}
