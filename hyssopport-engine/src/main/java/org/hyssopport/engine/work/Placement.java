package org.hyssopport.engine.work;

import java.time.Instant;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.engine.platform.WorkerId;

/**
 * The worker and lease under which one attempt may run, and the time limits for it.
 *
 * @param worker the worker that may run the attempt
 * @param bootId the worker's boot id at the time of the claim
 * @param holder the entry instance that holds the worker's lease
 * @param token the token of that lease
 * @param notAfter the worker refuses to start the attempt after this time
 * @param horizon the worker stops the attempt at this time unless it was extended
 * @since 0.1
 */
public record Placement(
    WorkerId worker, String bootId, EntryId holder, long token, Instant notAfter, Instant horizon) {

  Placement withHorizon(Instant newHorizon) {
    return new Placement(worker, bootId, holder, token, notAfter, newHorizon);
  }
}
