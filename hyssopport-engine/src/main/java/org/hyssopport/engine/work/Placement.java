package org.hyssopport.engine.work;

import java.time.Instant;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.WorkerId;

/**
 * Where one attempt may run, under which lease, and until when.
 *
 * @param worker the worker
 * @param bootId the worker's boot at the time of the claim
 * @param holder the holder of the worker's lease
 * @param token the lease's token
 * @param notAfter the start is refused after this moment
 * @param horizon the worker stops the attempt at this moment
 * @since 0.1
 */
public record Placement(
    WorkerId worker, String bootId, EntryId holder, long token, Instant notAfter, Instant horizon) {

  /** Returns this placement with a later horizon. */
  Placement withHorizon(Instant newHorizon) {
    return new Placement(worker, bootId, holder, token, notAfter, newHorizon);
  }
}
