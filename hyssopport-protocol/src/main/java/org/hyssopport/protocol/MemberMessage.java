package org.hyssopport.protocol;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerRequest;

/**
 * A message between a member of the cell and its scheduler.
 *
 * <p>Messages may be lost; whoever waits for an answer allows for that.
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
  @JsonSubTypes.Type(value = MemberMessage.AdviceRequest.class, name = "v"),
  @JsonSubTypes.Type(value = MemberMessage.AdviceAnswer.class, name = "w")
})
public sealed interface MemberMessage {

  /**
   * A member is there.
   *
   * @param failureDomain where it stands
   * @param leaving whether it is about to end
   * @param betterSuited whether it has what a scheduler needs and reaches the store
   */
  record MemberHeartbeat(String failureDomain, boolean leaving, boolean betterSuited)
      implements MemberMessage {}

  /**
   * The receiver's message has reached the scheduler.
   *
   * @param term the scheduler's term
   * @param storeWell whether the store has answered the scheduler lately
   * @param pending how many jobs of each queue have not started
   * @param members the addresses of all members that the scheduler hears
   */
  record LeaderHeartbeat(
      long term, boolean storeWell, Map<String, Integer> pending, Set<String> members)
      implements MemberMessage {}

  /**
   * The receiver's message has reached a member that is not the scheduler.
   *
   * @param term the newest term that the sender knows
   */
  record NotLeading(long term) implements MemberMessage {}

  /**
   * A caller asks something.
   *
   * @param number the number of the request at the member
   * @param request the request
   */
  record ForwardedRequest(long number, CallerRequest request) implements MemberMessage {}

  /**
   * What the caller is told.
   *
   * @param number the number of the request at the member
   * @param answer the answer
   */
  record ForwardedAnswer(long number, CallerAnswer answer) implements MemberMessage {}

  /**
   * Ask for advice.
   *
   * @param call the number of the call
   * @param step the step
   * @param workers the workers to name
   * @param withinMillis how long the answer may take
   */
  record AdviceRequest(long call, StepId step, List<WorkerId> workers, long withinMillis)
      implements MemberMessage {}

  /**
   * The advice.
   *
   * @param call the number of the call
   * @param tickets the ticket of each good worker by the worker's name; empty if none was given
   * @param validMillis how long the tickets are accepted
   */
  record AdviceAnswer(long call, Optional<Map<String, String>> tickets, long validMillis)
      implements MemberMessage {}

  /**
   * A message and its sender.
   *
   * @param sender the sender's address
   * @param message the message
   */
  record MemberEnvelope(String sender, MemberMessage message) {}
}
