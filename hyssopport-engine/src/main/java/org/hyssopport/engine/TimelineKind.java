package org.hyssopport.engine;

/**
 * The kinds of events on the time line.
 *
 * @since 0.1
 */
public enum TimelineKind {
  /** A request arrived from a caller. */
  REQUEST_RECEIVED,
  /** A request was sent to a worker. */
  REQUEST_SENT,
  /** A request was passed on to a peer. */
  REQUEST_FORWARDED,
  /** A request got its outcome. */
  REQUEST_ANSWERED,
  /** A request is tried again. */
  REQUEST_RETRIED,
  /** A job was accepted by the log. */
  JOB_ACCEPTED,
  /** An attempt was claimed in the log. */
  ATTEMPT_CLAIMED,
  /** A claim lost against another one. */
  CLAIM_REJECTED,
  /** An attempt was started on a worker. */
  ATTEMPT_STARTED,
  /** A running attempt was taken over from another holder. */
  ATTEMPT_ADOPTED,
  /** An attempt was closed in the log. */
  ATTEMPT_CLOSED,
  /** An attempt makes room for short work. */
  ATTEMPT_PREEMPTED,
  /** A job has ended. */
  JOB_ENDED,
  /** A worker's lease was granted. */
  LEASE_GRANTED,
  /** A worker's lease was lost. */
  LEASE_LOST,
  /** A worker's lease was given back. */
  LEASE_RELEASED,
  /** A worker may get work. */
  WORKER_READY,
  /** A worker gets no work because its work fails. */
  WORKER_EJECTED,
  /** A worker's clock is outside the bound. */
  CLOCK_SUSPECT,
  /** A configuration is in force. */
  CONFIGURATION_IN_FORCE,
  /** A failure domain now decides for a stream. */
  STREAM_OWNED,
  /** A peer is heard again. */
  PEER_REACHED,
  /** A peer is silent. */
  PEER_SILENT,
  /** The instance is leaving. */
  DRAIN_STARTED,
  /** The instance has nothing left in flight. */
  DRAIN_ENDED
}
