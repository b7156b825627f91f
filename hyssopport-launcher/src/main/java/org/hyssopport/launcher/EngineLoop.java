package org.hyssopport.launcher;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.EntryEngine;
import org.hyssopport.engine.Event;

/**
 * Runs the engine on a single thread.
 *
 * <p>Takes events from a bounded queue, adds ticks at a fixed interval, and passes the resulting
 * effects to a handler on the same thread. All methods but {@link #run} may be called on any
 * thread.
 */
final class EngineLoop implements Runnable {

  private static final int QUEUE_CAPACITY = 1 << 15;
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final int MAXIMUM_EVENTS_PER_TICK = 2048;

  private final EntryEngine engine;
  private final InstantSource clock;
  private final BoundedQueue<Event> queue = new BoundedQueue<>(QUEUE_CAPACITY);
  private final BiConsumer<Instant, Effect> effectHandler;
  private volatile boolean stopped;
  private volatile boolean ready;
  private volatile Thread engineThread;

  /** Events of the engine's thread for which the queue had no room; used by this thread only. */
  private final Deque<Event> overflow = new ArrayDeque<>();

  private long nextTickNanos;

  EngineLoop(EntryEngine engine, InstantSource clock, BiConsumer<Instant, Effect> effectHandler) {
    this.engine = engine;
    this.clock = clock;
    this.effectHandler = effectHandler;
  }

  /** Queues a caller's event; returns false if the queue is full, as the instance is overloaded. */
  boolean offer(Event event) {
    return queue.offer(event);
  }

  /**
   * Queues an event that must not be lost, blocking while the queue is full. The engine's thread,
   * which alone makes room in the queue, is not blocked.
   */
  void put(Event event) {
    if (Thread.currentThread() != engineThread) {
      queue.put(event);
    } else if (!queue.offer(event)) {
      overflow.add(event);
    }
  }

  boolean isReady() {
    return ready;
  }

  int queuedEventCount() {
    return queue.size();
  }

  void stop() {
    stopped = true;
  }

  @Override
  public void run() {
    engineThread = Thread.currentThread();
    nextTickNanos = System.nanoTime();
    while (!stopped) {
      long wait = overflow.isEmpty() ? nextTickNanos - System.nanoTime() : 0;
      Optional<Event> event = queue.poll(wait);
      int handled = 0;
      while (event.isPresent() && handled < MAXIMUM_EVENTS_PER_TICK) {
        handle(event.get());
        handled++;
        event = queue.poll();
      }
      event.ifPresent(this::handle);
      handleOverflow();
      if (System.nanoTime() - nextTickNanos >= 0) {
        nextTickNanos = System.nanoTime() + TICK_INTERVAL.toNanos();
        handle(new Event.Ticked());
      }
    }
  }

  /** Handles the events that overflowed so far, but none that overflow meanwhile. */
  private void handleOverflow() {
    for (int remaining = overflow.size(); remaining > 0; remaining--) {
      handle(overflow.remove());
    }
  }

  private void handle(Event event) {
    Instant now = clock.instant();
    List<Effect> effects = engine.handle(event, now);
    ready = engine.isReady();
    for (Effect effect : effects) {
      effectHandler.accept(now, effect);
    }
  }
}
