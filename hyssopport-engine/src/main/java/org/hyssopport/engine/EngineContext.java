package org.hyssopport.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.engine.work.StreamRecord;
import org.hyssopport.policy.Configuration;

/** State that all parts of one engine share, and the effects emitted for the current event. */
final class EngineContext {

  private final EntryId self;
  private final FailureDomain failureDomain;
  private final List<FailureDomain> allDomains;
  private final EngineSettings settings;
  private List<Effect> effects = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private long lastId;
  private int openHandles;
  private boolean draining;
  private Optional<Configuration> configuration = Optional.empty();

  EngineContext(
      EntryId self,
      FailureDomain failureDomain,
      List<FailureDomain> allDomains,
      EngineSettings settings) {
    if (!allDomains.contains(failureDomain)) {
      throw new IllegalArgumentException(
          "failure domain " + failureDomain + " is not one of the cell's domains " + allDomains);
    }
    this.self = self;
    this.failureDomain = failureDomain;
    this.allDomains = allDomains.stream().sorted().toList();
    this.settings = settings;
  }

  EntryId self() {
    return self;
  }

  FailureDomain failureDomain() {
    return failureDomain;
  }

  /** Returns all failure domains of the cell, sorted. */
  List<FailureDomain> allDomains() {
    return allDomains;
  }

  EngineSettings settings() {
    return settings;
  }

  Instant now() {
    return now;
  }

  void setTime(Instant newNow) {
    now = newNow;
  }

  boolean isDraining() {
    return draining;
  }

  void startDraining() {
    draining = true;
  }

  Optional<Configuration> configuration() {
    return configuration;
  }

  void setConfiguration(Configuration newConfiguration) {
    configuration = Optional.of(newConfiguration);
  }

  /**
   * Returns a new id. It begins with the name and incarnation of this instance, so that no other
   * instance or incarnation returns it.
   */
  String newId() {
    lastId++;
    return self + "-" + lastId;
  }

  void emit(Effect effect) {
    effects.add(effect);
  }

  void recordTimelineEvent(TimelineKind kind, Object subject, Object detail) {
    emit(new Effect.RecordTimelineEvent(kind, subject.toString(), detail.toString()));
  }

  /** Counts a call that waits for its reply. Every call gets exactly one reply. */
  void countOpenHandle() {
    openHandles++;
  }

  int openHandleCount() {
    return openHandles;
  }

  void reply(long handle, Answer answer) {
    openHandles--;
    emit(new Effect.Reply(handle, answer));
  }

  /** Emits an append of a record and returns the id of the record. */
  String append(StreamName stream, StreamRecord record) {
    String id = newId();
    emit(new Effect.Append(stream, id, record));
    return id;
  }

  List<Effect> drainEffects() {
    List<Effect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
