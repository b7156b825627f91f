package org.hyssopport.engine;

import java.time.Duration;

/**
 * The settings of the decisions; times in force are always stored as deadlines.
 *
 * @param leaseLength how long a worker's lease lasts unless renewed
 * @param renewalInterval how often a lease is renewed
 * @param clockBound the largest difference between two clocks
 * @param heartbeatInterval how often peers hear from this instance
 * @param peerTimeout after how long a silent peer counts as unreachable
 * @param startWindow how long after its claim an attempt may start
 * @param horizonLength how long an attempt runs unless its horizon is extended
 * @param adoptionDelay how long a failure domain must be gone before its streams are adopted
 * @param reservationLength how long a gang's reservation lasts
 * @param preemptionDelay how long short work waits before batch work makes room
 * @param answerRetention how long finished requests are remembered
 * @param ticketLength how long a ticket may be used
 * @param retention how long the log keeps records
 * @param maximumWaiting the most requests that wait at once
 * @param reservedSlots slots of each worker that only short work may use
 * @param retryShare retries allowed for each first attempt
 * @param streams the number of work streams, the same for the whole cell and for ever
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

  /** Returns the settings that hold unless others are stated. */
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

  /** Returns these settings with other policies, for comparisons. */
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

  /** Returns these settings with another horizon, adoption delay and retention. */
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
