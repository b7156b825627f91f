package org.hyssopport.testkit.standin;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptResult;
import org.hyssopport.policy.Resources;

/**
 * One run on a worker, for the oracle.
 *
 * @param worker the worker
 * @param task the task or request
 * @param attempt the attempt's number
 * @param resources what it held
 * @param payload what it was given
 * @param startedAt when it started, by true time
 * @param endedAt when it ended, if it did
 * @param result how it ended, if it did
 * @since 0.1
 */
public record RunRecord(
    String worker,
    String task,
    int attempt,
    Resources resources,
    String payload,
    Instant startedAt,
    Optional<Instant> endedAt,
    Optional<AttemptResult> result) {}
