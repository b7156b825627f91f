package org.hyssopport.testkit.cell;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.engine.EntryEngine;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.StreamName;

/**
 * An entry instance of a fake cell: its engine, its read positions in the log, and the events that
 * wait while it is frozen.
 */
final class FakeEntry {

  private final String name;
  private final FailureDomain domain;
  private final Map<StreamName, Long> offsets = new HashMap<>();
  private final Deque<Event> deferredEvents = new ArrayDeque<>();
  private EntryId id;
  private EntryEngine engine;
  private int starts;
  private boolean alive;
  private boolean frozen;
  private boolean draining;

  FakeEntry(String name, String domain) {
    this.name = name;
    this.domain = new FailureDomain(domain);
  }

  void start(List<FailureDomain> allDomains, EngineSettings settings) {
    starts++;
    id = new EntryId(name, "i" + starts + name.replace("-", ""));
    engine = EntryEngine.create(id, domain, allDomains, settings);
    offsets.clear();
    deferredEvents.clear();
    alive = true;
    frozen = false;
    draining = false;
  }

  String name() {
    return name;
  }

  FailureDomain domain() {
    return domain;
  }

  EntryId id() {
    return id;
  }

  EntryEngine engine() {
    return engine;
  }

  boolean isAlive() {
    return alive;
  }

  boolean isFrozen() {
    return frozen;
  }

  boolean isRunning() {
    return alive && !frozen;
  }

  void kill() {
    alive = false;
    deferredEvents.clear();
  }

  void freeze() {
    frozen = true;
  }

  void thaw() {
    frozen = false;
  }

  void defer(Event event) {
    deferredEvents.add(event);
  }

  Deque<Event> deferredEvents() {
    return deferredEvents;
  }

  long offset(StreamName stream) {
    return offsets.getOrDefault(stream, 0L);
  }

  void setOffset(StreamName stream, long offset) {
    offsets.put(stream, offset);
  }

  boolean isDraining() {
    return draining;
  }

  void drain() {
    draining = true;
  }
}
