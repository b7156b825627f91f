package org.hyssopport.engine;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/** The requests that wait for a slot, in one queue for each lane. */
final class RequestQueue {

  private final Map<Lane, TreeSet<Entry>> lanes = new EnumMap<>(Lane.class);
  private final Map<String, Entry> entries = new HashMap<>();
  private long lastSequence;

  RequestQueue(Queueing queueing) {
    Comparator<Entry> bySequence = Comparator.comparingLong(Entry::sequence);
    Comparator<Entry> byDeadline = Comparator.comparing(entry -> entry.request().deadline());
    Comparator<Entry> order =
        queueing.ordersByArrival() ? bySequence : byDeadline.thenComparing(bySequence);
    for (Lane lane : Lane.values()) {
      lanes.put(lane, new TreeSet<>(order));
    }
  }

  void add(Lane lane, Request request) {
    lastSequence++;
    Entry entry = new Entry(request, lane, lastSequence);
    entries.put(request.id(), entry);
    lanes.get(lane).add(entry);
  }

  void remove(Request request) {
    Entry entry = entries.remove(request.id());
    if (entry != null) {
      lanes.get(entry.lane()).remove(entry);
    }
  }

  int size() {
    return entries.size();
  }

  int size(Lane lane) {
    return lanes.get(lane).size();
  }

  /** Returns up to {@code count} requests from the head of the queue of a lane, in order. */
  List<Request> first(Lane lane, int count) {
    return lanes.get(lane).stream().limit(count).map(Entry::request).toList();
  }

  Optional<Request> first(Lane lane) {
    TreeSet<Entry> queue = lanes.get(lane);
    return queue.isEmpty() ? Optional.empty() : Optional.of(queue.first().request());
  }

  /**
   * A waiting request.
   *
   * @param request the request
   * @param lane the lane in whose queue it waits
   * @param sequence a number that grows with every addition
   */
  private record Entry(Request request, Lane lane, long sequence) {}
}
