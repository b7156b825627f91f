package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the scheduler's parts share: the time, the settings and the effects of one event. */
final class SchedulerContext {

  private final SchedulerSettings settings;
  private List<SchedulerEffect> effects = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private Instant timeOfDay = Instant.EPOCH;
  private boolean placementWanted;

  SchedulerContext(SchedulerSettings settings) {
    this.settings = settings;
  }

  SchedulerSettings settings() {
    return settings;
  }

  void begin(Instant steadyNow, Instant newTimeOfDay) {
    now = steadyNow;
    timeOfDay = newTimeOfDay;
  }

  /** Returns the local steady clock. */
  Instant now() {
    return now;
  }

  Instant timeOfDay() {
    return timeOfDay;
  }

  /** Notes that something changed which may let a waiting task start. */
  void wantPlacement() {
    placementWanted = true;
  }

  boolean placementWanted() {
    return placementWanted;
  }

  void placementDone() {
    placementWanted = false;
  }

  void emit(SchedulerEffect effect) {
    effects.add(effect);
  }

  void decided(String decision, Object request, Map<String, Object> inputs) {
    effects.add(new SchedulerEffect.LogDecision(decision, request.toString(), inputs));
  }

  List<SchedulerEffect> takeEffects() {
    List<SchedulerEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }
}
