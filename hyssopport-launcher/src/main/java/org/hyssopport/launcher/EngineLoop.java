package org.hyssopport.launcher;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.EntryEngine;
import org.hyssopport.engine.Event;

/** The thread that runs the engine: it takes events from a ring and hands effects on. */
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
  private long nextTickNanos;

  EngineLoop(EntryEngine engine, InstantSource clock, BiConsumer<Instant, Effect> effectHandler) {
    this.engine = engine;
    this.clock = clock;
    this.effectHandler = effectHandler;
  }

  /** Hands in an event of a caller; returns false if the instance is overloaded. */
  boolean offer(Event event) {
    return queue.offer(event);
  }

  /** Hands in an event that must not be lost. */
  void put(Event event) {
    queue.put(event);
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
    nextTickNanos = System.nanoTime();
    while (!stopped) {
      long wait = nextTickNanos - System.nanoTime();
      Optional<Event> event = queue.poll(wait);
      int handled = 0;
      while (event.isPresent() && handled < MAXIMUM_EVENTS_PER_TICK) {
        handle(event.get());
        handled++;
        event = queue.poll();
      }
      event.ifPresent(this::handle);
      if (System.nanoTime() - nextTickNanos >= 0) {
        nextTickNanos = System.nanoTime() + TICK_INTERVAL.toNanos();
        handle(new Event.Ticked());
      }
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
