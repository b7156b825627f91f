package org.hyssopport.testkit.standin;

import java.time.Instant;
import java.util.Optional;
import org.hyssopport.engine.platform.AttemptResult;
import org.hyssopport.policy.Resources;

/**
 * One run on a worker, as recorded for the oracle. The component names are the JSON keys of a
 * worker's {@code /history}.
 *
 * @param worker the name of the worker
 * @param task the id of the task or request
 * @param attempt the number of the attempt
 * @param resources the resources that the run held
 * @param payload the payload of the task or request
 * @param startedAt the start, in true time (without the offset of the worker's clock)
 * @param endedAt the end in true time, or empty while the run lasts
 * @param result the result, or empty while the run lasts
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
