package org.hyssopport.engine;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptId;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.work.Placement;
import org.hyssopport.policy.Resources;

/**
 * A message between entry instances.
 *
 * <p>Messages may be lost, delayed, repeated and reordered; every receiver tolerates this.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "hb"),
  @JsonSubTypes.Type(value = PeerMessage.Forward.class, name = "fw"),
  @JsonSubTypes.Type(value = PeerMessage.ForwardDeclined.class, name = "fd"),
  @JsonSubTypes.Type(value = PeerMessage.ForwardAnswered.class, name = "fa"),
  @JsonSubTypes.Type(value = PeerMessage.ForwardQuery.class, name = "fq"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigurationQuery.class, name = "cw"),
  @JsonSubTypes.Type(value = PeerMessage.ConfigurationOffered.class, name = "co"),
  @JsonSubTypes.Type(value = PeerMessage.WorkerReleased.class, name = "wr"),
  @JsonSubTypes.Type(value = PeerMessage.ReserveTasks.class, name = "rt"),
  @JsonSubTypes.Type(value = PeerMessage.TasksReserved.class, name = "tr"),
  @JsonSubTypes.Type(value = PeerMessage.ReservationCancelled.class, name = "rc")
})
public sealed interface PeerMessage {

  /**
   * Announces that the sender is alive and how much more work it can take.
   *
   * @param failureDomain the sender's failure domain
   * @param sentAt when the message was sent, by the sender's clock
   * @param draining whether the sender is draining
   * @param configurationVersion the configuration version in force at the sender
   * @param freeShortSlots slots that short work could use now
   * @param freeLongSlots slots that long work could use now
   * @param waiting the number of requests that wait at the sender
   */
  record Heartbeat(
      FailureDomain failureDomain,
      Instant sentAt,
      boolean draining,
      long configurationVersion,
      int freeShortSlots,
      int freeLongSlots,
      int waiting)
      implements PeerMessage {}

  /**
   * Forwards a request.
   *
   * @param attempt the sender's id of the request, and the number of its attempt
   * @param request the request
   * @param byTicket true if the receiver issued the request's ticket and must run it as its own
   */
  record Forward(AttemptId attempt, ServiceRequest request, boolean byTicket)
      implements PeerMessage {}

  /**
   * Declines a forwarded request: the sender of this message has not started it and will not.
   *
   * @param attempt the attempt that the declined message named
   * @param freeShortSlots slots that short work could use now
   * @param freeLongSlots slots that long work could use now
   */
  record ForwardDeclined(AttemptId attempt, int freeShortSlots, int freeLongSlots)
      implements PeerMessage {}

  /**
   * Reports the outcome of a forwarded request.
   *
   * @param attempt the attempt that the request or the query named
   * @param outcome the outcome
   * @param reason the reason for the outcome
   * @param body the complete body of the answer
   * @param runMillis how long it ran, in milliseconds; 0 if not known
   */
  record ForwardAnswered(
      AttemptId attempt, Outcome outcome, Reason reason, Optional<String> body, long runMillis)
      implements PeerMessage {}

  /**
   * Asks for the outcome of a forwarded request whose answer is overdue, or of a request that the
   * receiver issued.
   *
   * @param attempt the attempt as in {@link Forward}; number 0 if the receiver issued the request
   */
  record ForwardQuery(AttemptId attempt) implements PeerMessage {}

  /** Asks for the configuration in force. */
  record ConfigurationQuery() implements PeerMessage {}

  /**
   * Offers a configuration.
   *
   * @param version the version of the configuration
   * @param text the configuration as JSON
   */
  record ConfigurationOffered(long version, String text) implements PeerMessage {}

  /**
   * Tells the receiver that the sender released a worker's lease, so that the receiver can acquire
   * it.
   *
   * @param worker the worker
   */
  record WorkerReleased(WorkerId worker) implements PeerMessage {}

  /**
   * Asks the receiver to reserve capacity for tasks of a gang.
   *
   * @param job the gang job
   * @param attempt the attempt of its tasks
   * @param resources the resources of each task
   * @param count the largest number of tasks to reserve capacity for
   * @param deadline when the reservation expires
   */
  record ReserveTasks(String job, int attempt, Resources resources, int count, Instant deadline)
      implements PeerMessage {}

  /**
   * Reports the capacity that was reserved for tasks of a gang.
   *
   * @param job the gang job
   * @param attempt the attempt of its tasks
   * @param placements one placement for each task that capacity was reserved for
   */
  record TasksReserved(String job, int attempt, List<Placement> placements)
      implements PeerMessage {}

  /**
   * Cancels the reservation for tasks of a gang.
   *
   * @param job the gang job
   * @param attempt the attempt of its tasks
   */
  record ReservationCancelled(String job, int attempt) implements PeerMessage {}

  /**
   * A message with its sender and the incarnation that it is meant for.
   *
   * @param sender the incarnation that sends it
   * @param receiver the incarnation that it is meant for; empty for any
   * @param message the message
   */
  record Envelope(EntryId sender, Optional<EntryId> receiver, PeerMessage message) {}
}
