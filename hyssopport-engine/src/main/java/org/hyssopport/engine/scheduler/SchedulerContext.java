package org.hyssopport.engine.scheduler;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.QueuePolicy;

/**
 * State shared by the parts of the scheduler: time, settings, the request for a placement pass and
 * the effects not yet drained.
 */
final class SchedulerContext {

  private final SchedulerSettings settings;
  private List<SchedulerEffect> effects = new ArrayList<>();
  private Instant now = Instant.EPOCH;
  private Instant wallClockTime = Instant.EPOCH;
  private boolean placementRequested;
  private Instant leadershipConfirmedAt = Instant.MIN;
  private Optional<CellConfiguration> configuration = Optional.empty();
  private Map<String, QueuePolicy> queues = Map.of();

  SchedulerContext(SchedulerSettings settings) {
    this.settings = settings;
  }

  SchedulerSettings settings() {
    return settings;
  }

  void setTime(Instant monotonicNow, Instant newWallClockTime) {
    now = monotonicNow;
    wallClockTime = newWallClockTime;
  }

  /** Returns the reading of the local monotonic clock. */
  Instant now() {
    return now;
  }

  Instant wallClockTime() {
    return wallClockTime;
  }

  /** Returns when every lease that an earlier scheduler may just have granted has expired. */
  Instant inheritedLeaseUntil() {
    return now.plus(settings.longestInheritedLease());
  }

  /**
   * Returns when a lease has expired that a later incarnation of a worker was just given by the
   * clock of an earlier one.
   */
  Instant leaseOfLaterIncarnationUntil() {
    return now.plus(settings.longestLeaseOfLaterIncarnation());
  }

  /** Returns the same for a lease that an earlier scheduler may just have granted. */
  Instant inheritedLeaseOfLaterIncarnationUntil() {
    return now.plus(settings.longestInheritedLeaseOfLaterIncarnation());
  }

  /**
   * Records that no newer term had begun when a call of the store was sent. Other answers of the
   * store don't show that: it also answers members that no longer lead.
   *
   * @param sentAt when the call was sent, by the local monotonic clock
   */
  void confirmLeadership(Instant sentAt) {
    if (sentAt.isAfter(leadershipConfirmedAt)) {
      leadershipConfirmedAt = sentAt;
    }
  }

  /**
   * Returns whether workers may be granted leases. A newer term waits until all leases have expired
   * that were granted within this time of its beginning.
   */
  boolean mayGrantLeases() {
    return now.isBefore(leadershipConfirmedAt.plus(settings.storeOutageTolerance()));
  }

  /** Puts a configuration in force unless a newer one is. */
  void applyConfiguration(CellConfiguration newer) {
    if (configuration.filter(current -> current.version() >= newer.version()).isEmpty()) {
      configuration = Optional.of(newer);
      queues = newer.queuesByName();
      requestPlacement();
    }
  }

  /**
   * Returns the policy of a queue that is in force. That is the given one if its configuration is
   * newer than the scheduler's, or if the queue is no longer configured.
   */
  QueuePolicy queueInForce(QueuePolicy known) {
    return Optional.ofNullable(queues.get(known.name())).map(known::newerOf).orElse(known);
  }

  /** Returns an accepted job of which no task has started, with the policy in force. */
  Job createJob(JobDefinition definition, Instant acceptedAt) {
    Job job = Job.accepted(definition, acceptedAt);
    job.followQueue(queueInForce(job.queue()));
    return job;
  }

  /** Returns the configuration in force, or empty until this scheduler has received one. */
  Optional<CellConfiguration> configuration() {
    return configuration;
  }

  /** Requests a placement pass, after a change that may let a waiting task start. */
  void requestPlacement() {
    placementRequested = true;
  }

  boolean placementRequested() {
    return placementRequested;
  }

  void clearPlacementRequest() {
    placementRequested = false;
  }

  void emit(SchedulerEffect effect) {
    effects.add(effect);
  }

  void logDecision(String decision, Object subject, Map<String, Object> inputs) {
    effects.add(new SchedulerEffect.LogDecision(decision, subject.toString(), inputs));
  }

  List<SchedulerEffect> drainEffects() {
    List<SchedulerEffect> drained = effects;
    effects = new ArrayList<>();
    return drained;
  }
}
