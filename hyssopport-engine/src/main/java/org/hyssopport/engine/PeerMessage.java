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
 * <p>Messages may be lost, delayed, repeated and reordered; every receiver allows for that.
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
   * Tells that an instance lives and what it could take.
   *
   * @param failureDomain where it stands
   * @param sentAt the sender's clock
   * @param draining whether it is leaving
   * @param configurationVersion the version in force there
   * @param freeShortSlots slots that short work could use now
   * @param freeLongSlots slots that long work could use now
   * @param waiting requests that wait there
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
   * Passes a request on.
   *
   * @param attempt the request and the asker's attempt
   * @param request the request
   * @param byTicket true if the receiver issued the ticket and must run it as its own
   */
  record Forward(AttemptId attempt, ServiceRequest request, boolean byTicket)
      implements PeerMessage {}

  /**
   * The receiver did not start the request and will not.
   *
   * @param attempt the asker's attempt
   * @param freeShortSlots slots that short work could use now
   * @param freeLongSlots slots that long work could use now
   */
  record ForwardDeclined(AttemptId attempt, int freeShortSlots, int freeLongSlots)
      implements PeerMessage {}

  /**
   * The outcome of a request that was passed on.
   *
   * @param attempt the asker's attempt
   * @param outcome what became of it
   * @param reason why
   * @param body the whole answer
   * @param runMillis how long it ran, in milliseconds
   */
  record ForwardAnswered(
      AttemptId attempt, Outcome outcome, Reason reason, Optional<String> body, long runMillis)
      implements PeerMessage {}

  /**
   * Asks again for the outcome of a request that was passed on.
   *
   * @param attempt the asker's attempt
   */
  record ForwardQuery(AttemptId attempt) implements PeerMessage {}

  /** Asks for the configuration in force. */
  record ConfigurationQuery() implements PeerMessage {}

  /**
   * Hands over a configuration.
   *
   * @param version its version
   * @param text its printed form
   */
  record ConfigurationOffered(long version, String text) implements PeerMessage {}

  /**
   * Tells that a worker's lease was given back for the receiver to take.
   *
   * @param worker the worker
   */
  record WorkerReleased(WorkerId worker) implements PeerMessage {}

  /**
   * Asks to hold room for tasks of a gang.
   *
   * @param job the gang job
   * @param attempt the attempt of its tasks
   * @param resources what each task holds
   * @param count how many tasks at most
   * @param deadline when the hold lapses by itself
   */
  record ReserveTasks(String job, int attempt, Resources resources, int count, Instant deadline)
      implements PeerMessage {}

  /**
   * Tells which room is held.
   *
   * @param job the gang job
   * @param attempt the attempt of its tasks
   * @param placements one placement for each task that found room
   */
  record TasksReserved(String job, int attempt, List<Placement> placements)
      implements PeerMessage {}

  /**
   * Gives a hold back.
   *
   * @param job the gang job
   * @param attempt the attempt of its tasks
   */
  record ReservationCancelled(String job, int attempt) implements PeerMessage {}

  /**
   * A message with its sender and the incarnation that it is meant for.
   *
   * @param sender who sends
   * @param receiver the incarnation that it is for, or nothing for any
   * @param message the message
   */
  record Envelope(EntryId sender, Optional<EntryId> receiver, PeerMessage message) {}
}
