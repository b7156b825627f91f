package org.hyssopport.engine;

import java.time.Duration;

/**
 * Settings of the engine's decisions.
 *
 * <p>A lease, a claim or a reservation is stored with its deadline, not with one of these
 * durations.
 *
 * @param leaseLength how long a worker's lease lasts unless it is renewed
 * @param renewalInterval the time between two renewals of a lease
 * @param clockBound the largest difference between two clocks that is assumed
 * @param heartbeatInterval the time between two heartbeats to the peers
 * @param peerTimeout how long after its last heartbeat a peer counts as unreachable
 * @param startWindow how long after its claim an attempt may start
 * @param horizonLength how long an attempt may run unless its horizon is extended
 * @param adoptionDelay how long a failure domain must show no sign of life before other domains
 *     adopt its streams
 * @param reservationLength how long a gang's reservations last
 * @param preemptionDelay how long a short request waits before batch attempts are preempted
 * @param answerRetention how long the outcomes of finished requests are kept
 * @param ticketLength how long a ticket may be used
 * @param retention how long the log keeps records
 * @param maximumWaiting the largest number of requests that wait at once
 * @param reservedSlots the number of slots of each worker that only short requests may use
 * @param retryShare the number of retries allowed for each first attempt, a fraction
 * @param streams the number of work streams; the same for the whole cell and never changed, since
 *     the home stream of an id is computed from it
 * @param policies the policies in force
 * @since 0.1
 */
public record EngineSettings(
    Duration leaseLength,
    Duration renewalInterval,
    Duration clockBound,
    Duration heartbeatInterval,
    Duration peerTimeout,
    Duration startWindow,
    Duration horizonLength,
    Duration adoptionDelay,
    Duration reservationLength,
    Duration preemptionDelay,
    Duration answerRetention,
    Duration ticketLength,
    Duration retention,
    int maximumWaiting,
    int reservedSlots,
    double retryShare,
    int streams,
    Policies policies) {

  /** Returns the default settings. */
  public static EngineSettings standard() {
    return new EngineSettings(
        Duration.ofSeconds(3),
        Duration.ofSeconds(1),
        Duration.ofMillis(200),
        Duration.ofMillis(250),
        Duration.ofMillis(1500),
        Duration.ofSeconds(5),
        Duration.ofSeconds(60),
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        Duration.ofMillis(20),
        Duration.ofSeconds(60),
        Duration.ofMinutes(10),
        Duration.ofHours(6),
        4096,
        2,
        0.1,
        6,
        Policies.standard());
  }

  /** Returns a copy of these settings with other policies, for comparisons of policies. */
  public EngineSettings withPolicies(Policies newPolicies) {
    return new EngineSettings(
        leaseLength,
        renewalInterval,
        clockBound,
        heartbeatInterval,
        peerTimeout,
        startWindow,
        horizonLength,
        adoptionDelay,
        reservationLength,
        preemptionDelay,
        answerRetention,
        ticketLength,
        retention,
        maximumWaiting,
        reservedSlots,
        retryShare,
        streams,
        newPolicies);
  }

  /** Returns a copy with another horizon length, adoption delay and log retention. */
  public EngineSettings withDurations(Duration horizon, Duration adoption, Duration newRetention) {
    return new EngineSettings(
        leaseLength,
        renewalInterval,
        clockBound,
        heartbeatInterval,
        peerTimeout,
        startWindow,
        horizon,
        adoption,
        reservationLength,
        preemptionDelay,
        answerRetention,
        ticketLength,
        newRetention,
        maximumWaiting,
        reservedSlots,
        retryShare,
        streams,
        policies);
  }
}
