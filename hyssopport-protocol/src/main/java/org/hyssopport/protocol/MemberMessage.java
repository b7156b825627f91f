package org.hyssopport.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequest;

/**
 * A message between a member of the cell and the member that is the scheduler.
 *
 * <p>Messages are sent over a {@link FramedLink} and may be lost, so a sender that waits for an
 * answer must handle its absence.
 *
 * @since 0.2
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = MemberMessage.MemberHeartbeat.class, name = "p"),
  @JsonSubTypes.Type(value = MemberMessage.LeaderHeartbeat.class, name = "l"),
  @JsonSubTypes.Type(value = MemberMessage.NotLeading.class, name = "n"),
  @JsonSubTypes.Type(value = MemberMessage.ForwardedRequest.class, name = "q"),
  @JsonSubTypes.Type(value = MemberMessage.ForwardedAnswer.class, name = "a"),
  @JsonSubTypes.Type(value = MemberMessage.RequestNotTaken.class, name = "r"),
  @JsonSubTypes.Type(value = MemberMessage.AdviceRequest.class, name = "v"),
  @JsonSubTypes.Type(value = MemberMessage.AdviceAnswer.class, name = "w"),
  @JsonSubTypes.Type(value = MemberMessage.ConfigurationRequest.class, name = "c"),
  @JsonSubTypes.Type(value = MemberMessage.ConfigurationCopy.class, name = "d")
})
public sealed interface MemberMessage {

  /** Returns the version of the configuration in force at the sender, if the message states it. */
  default Optional<Long> configurationVersion() {
    return Optional.empty();
  }

  /**
   * Reports that the sender, a member of the cell, is alive.
   *
   * @param failureDomain the failure domain that the sender runs in
   * @param leaving whether the sender is shutting down
   * @param betterSuited whether the sender has the resources that a scheduler needs and reaches the
   *     store
   * @param schedulerRank how well the sender suits a scheduler, the lower the better, 0 if it has
   *     all that one needs; empty if it does not reach the store or is shutting down, or if the
   *     version of the sender does not state it
   * @param sentAtMillis when it was sent, in milliseconds of the sender's clock; the answer repeats
   *     it
   * @param configurationVersion the version of the configuration in force at the sender; empty if
   *     it has none, or if the version of the sender does not state it
   * @param hearsReceiver whether heartbeats of the receiver, as the scheduler, have reached the
   *     sender recently; empty if the version of the sender does not state it
   */
  record MemberHeartbeat(
      String failureDomain,
      boolean leaving,
      boolean betterSuited,
      Optional<Integer> schedulerRank,
      long sentAtMillis,
      Optional<Long> configurationVersion,
      Optional<Boolean> hearsReceiver)
      implements MemberMessage {

    /** Creates a heartbeat of a version that states neither configurations nor what it hears. */
    public MemberHeartbeat(
        String failureDomain,
        boolean leaving,
        boolean betterSuited,
        Optional<Integer> schedulerRank,
        long sentAtMillis) {
      this(
          failureDomain,
          leaving,
          betterSuited,
          schedulerRank,
          sentAtMillis,
          Optional.empty(),
          Optional.empty());
    }

    /** Returns whether what the receiver sends can be expected to reach the sender. */
    public boolean mayHearReceiver() {
      return hearsReceiver.orElse(true);
    }
  }

  /**
   * Reports that the sender is the scheduler, in answer to a heartbeat and when its term begins.
   *
   * @param term the sender's term as scheduler
   * @param storeWell whether the store has answered the scheduler recently; an earlier version
   *     sends false, unasked, when it hands over leadership
   * @param pendingCount how many jobs have not started; empty if the scheduler has not counted them
   *     yet, if the message answers no heartbeat, or if the version of the sender does not state it
   * @param members the addresses of all members that the scheduler considers live, those that are
   *     leaving included
   * @param configurationVersion the version of the configuration in force at the sender; empty if
   *     it has none, or if the version of the sender does not state it
   */
  record LeaderHeartbeat(
      long term,
      boolean storeWell,
      Optional<PendingCount> pendingCount,
      Set<String> members,
      Optional<Long> configurationVersion)
      implements MemberMessage {

    /** Creates a heartbeat that states no configuration. */
    public LeaderHeartbeat(
        long term, boolean storeWell, Optional<PendingCount> pendingCount, Set<String> members) {
      this(term, storeWell, pendingCount, members, Optional.empty());
    }
  }

  /**
   * How many jobs have not started, in the answer to a heartbeat.
   *
   * @param byQueue the number of jobs by the name of the queue; a queue that is absent has none
   * @param ageMillis how long before the answer they were counted, in milliseconds
   * @param heartbeatSentAtMillis the time that the heartbeat stated, by the clock of its sender
   */
  record PendingCount(Map<String, Integer> byQueue, long ageMillis, long heartbeatSentAtMillis) {}

  /**
   * Reports that the sender is not the scheduler, in answer to a heartbeat and when it hands over
   * leadership.
   *
   * @param term the newest term that the sender knows
   * @param congested whether the sender hands over because it can't keep up with the load; false if
   *     the version of the sender does not state it
   */
  record NotLeading(long term, boolean congested) implements MemberMessage {}

  /**
   * Forwards a caller's request to the scheduler.
   *
   * <p>The answer may arrive after the forwarding member was started again under its address, so a
   * member must not number its requests as its earlier processes did.
   *
   * @param number the number that the forwarding member gave the request; no other process under
   *     the member's address uses it
   * @param request the request of the caller
   */
  record ForwardedRequest(long number, CallerRequest request) implements MemberMessage {}

  /**
   * Returns the answer to a forwarded request.
   *
   * @param number the number of the request that is answered, which may be a request of an earlier
   *     process under the receiver's address
   * @param answer the answer for the caller
   */
  record ForwardedAnswer(long number, CallerAnswer answer) implements MemberMessage {}

  /**
   * Returns a forwarded request that the sender has not taken as the scheduler: it does not lead,
   * or its term ended before it handled the request. The request has no effect there, now or later.
   *
   * <p>A receiver of an earlier version can't decode the message and waits for an answer as before.
   *
   * @param number the number of the request that is returned
   * @param term the newest term that the sender knows
   */
  record RequestNotTaken(long number, long term) implements MemberMessage {}

  /**
   * Asks for advice on which workers may run the tasks of a step.
   *
   * <p>Every term numbers its calls from 1, so a call is identified by its term and its number.
   *
   * @param term the sender's term as scheduler, which the answer repeats
   * @param call the number of the advice call in this term, which the answer repeats
   * @param step the step whose tasks are to be placed
   * @param workers the workers that the advice is about
   * @param withinMillis the time limit for the answer, in milliseconds
   */
  record AdviceRequest(long term, long call, StepId step, List<WorkerId> workers, long withinMillis)
      implements MemberMessage {}

  /**
   * Answers a request for advice.
   *
   * <p>It may arrive in a later term of the receiver, which must not take it for the answer to its
   * own call with this number.
   *
   * @param term the term in which the advice call was sent
   * @param call the number of the advice call that is answered
   * @param tickets the tickets of the workers that may run the tasks, by the worker's name; empty
   *     if no advice was given
   * @param validMillis how long the tickets are accepted, in milliseconds
   */
  record AdviceAnswer(long term, long call, Optional<Map<String, String>> tickets, long validMillis)
      implements MemberMessage {}

  /**
   * Asks a member for the configuration if it holds a newer one than the sender. A receiver of an
   * earlier version can't decode the message and drops it.
   *
   * @param heldVersion the version in force at the sender; -1 if it has none
   */
  record ConfigurationRequest(long heldVersion) implements MemberMessage {}

  /**
   * Passes a configuration on.
   *
   * @param version its version
   * @param deflatedValue the value of its record in the store, as the operator wrote it, deflated;
   *     it holds keys and must not be logged
   */
  record ConfigurationCopy(long version, ByteBuffer deflatedValue) implements MemberMessage {}

  /**
   * A message with the address of its sender.
   *
   * @param sender the sender's address
   * @param message the message
   */
  record MemberEnvelope(String sender, MemberMessage message) {}
}
