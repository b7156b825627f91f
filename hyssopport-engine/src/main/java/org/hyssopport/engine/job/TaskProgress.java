package org.hyssopport.engine.job;

import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;

/**
 * The stored progress of one task.
 *
 * @param occurrence the occurrence
 * @param step the step
 * @param index the task's place in the step
 * @param done whether it is done
 * @param run the highest run number used
 * @param failures how many runs ended as failed
 * @param worker where its last run was assigned, if that run has not ended
 * @param incarnation the worker's incarnation then
 * @param checkpoint the newest checkpoint, or an empty text
 * @since 0.2
 */
public record TaskProgress(
    int occurrence,
    int step,
    int index,
    boolean done,
    int run,
    int failures,
    Optional<WorkerId> worker,
    long incarnation,
    String checkpoint) {}
