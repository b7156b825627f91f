package org.hyssopport.launcher;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hyssopport.engine.Effect;

/** Keeps the most recent timeline events of this process, up to a fixed number. Thread-safe. */
final class Timeline {

  private static final int MAXIMUM_EVENTS = 20_000;

  private final String process;
  private final String failureDomain;
  private final Deque<TimelineEvent> events = new ArrayDeque<>();
  private long lastSequence;

  Timeline(String process, String failureDomain) {
    this.process = process;
    this.failureDomain = failureDomain;
  }

  synchronized void record(Instant at, Effect.RecordTimelineEvent event) {
    lastSequence++;
    events.add(
        new TimelineEvent(
            at,
            process,
            failureDomain,
            lastSequence,
            event.kind().name(),
            event.subject(),
            event.detail()));
    if (events.size() > MAXIMUM_EVENTS) {
      events.remove();
    }
  }

  /** Returns the stored events with a higher sequence number than the given one. */
  synchronized List<TimelineEvent> after(long sequence) {
    List<TimelineEvent> later = new ArrayList<>();
    for (TimelineEvent event : events) {
      if (event.sequence() > sequence) {
        later.add(event);
      }
    }
    return later;
  }
}
