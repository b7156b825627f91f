package org.hyssopport.engine;

/**
 * The kinds of events on the timeline.
 *
 * @since 0.1
 */
public enum TimelineKind {
  /** A request arrived from a caller. */
  REQUEST_RECEIVED,
  /** A request was sent to a worker. */
  REQUEST_SENT,
  /** A request was forwarded to a peer. */
  REQUEST_FORWARDED,
  /** An answer to a request was sent to its recipients. */
  REQUEST_ANSWERED,
  /** A request is retried. */
  REQUEST_RETRIED,
  /** The log accepted a job. */
  JOB_ACCEPTED,
  /** An attempt was claimed in the log. */
  ATTEMPT_CLAIMED,
  /** A claim was invalid when it was read back from the log, or a reservation expired. */
  CLAIM_REJECTED,
  /** An attempt was started on a worker. */
  ATTEMPT_STARTED,
  /** An attempt that was claimed under another lease was adopted. */
  ATTEMPT_ADOPTED,
  /** An attempt was closed in the log. */
  ATTEMPT_CLOSED,
  /** An attempt is stopped to free its slot for short work, or because its horizon is near. */
  ATTEMPT_PREEMPTED,
  /** A job has ended. */
  JOB_ENDED,
  /** A worker's lease was granted. */
  LEASE_GRANTED,
  /** A worker's lease was lost. */
  LEASE_LOST,
  /** A worker's lease was released. */
  LEASE_RELEASED,
  /** A worker may get work: a report as new as the grant of its lease was read. */
  WORKER_READY,
  /** A worker was ejected because too much of its work fails. */
  WORKER_EJECTED,
  /** A worker's clock deviates by more than the clock bound. */
  CLOCK_SUSPECT,
  /** A configuration came into force. */
  CONFIGURATION_IN_FORCE,
  /** A failure domain became the owner of a stream. */
  STREAM_OWNED,
  /** A peer became reachable. */
  PEER_REACHED,
  /** No heartbeat of a peer arrived within the peer timeout. */
  PEER_SILENT,
  /** The instance started to drain. */
  DRAIN_STARTED,
  /** The instance has drained: nothing is in flight any more. */
  DRAIN_ENDED
}
