package org.hyssopport.engine.job;

import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.platform.WorkerId;

/**
 * The stored form of the progress of one task.
 *
 * @param occurrence the number of the occurrence of the job, from 0
 * @param step the index of the step in the job, from 0
 * @param index the index of the task in the step, from 0
 * @param done whether the task is done
 * @param run the highest run number that was used
 * @param failures how many of its runs have failed; a failed run of a gang counts for one of its
 *     tasks
 * @param worker the worker that its last run was assigned to, if that run has not ended
 * @param incarnation the incarnation of that worker when the run was assigned
 * @param checkpoint the newest checkpoint, or an empty string
 * @param failedRuns the numbers of the latest failed runs that are counted in {@code failures};
 *     empty if there are none, and in records of versions that did not store them
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
    String checkpoint,
    Optional<List<Integer>> failedRuns) {}
