package org.hyssopport.engine.job;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * A step of a job as its caller declared it.
 *
 * @param tasks how many tasks it has
 * @param demand what each task takes
 * @param estimate a rough estimate of a task's run time
 * @param after the earlier steps that have to be done first
 * @param checkpoint whether its tasks save their progress
 * @param gang whether its tasks work only together
 * @param sameRack whether its tasks are slower on more than one rack
 * @param requiredLabel a label that the worker must have
 * @param preferredRack the rack where the data is
 * @param mostPerWorker how many tasks may run on one worker; 0 for any number
 * @param copies whether a task may run several times at once
 * @param lasting whether the tasks run until the job is cancelled
 * @since 0.2
 */
public record StepDefinition(
    int tasks,
    Resources demand,
    Duration estimate,
    List<Integer> after,
    boolean checkpoint,
    boolean gang,
    boolean sameRack,
    Optional<String> requiredLabel,
    Optional<String> preferredRack,
    int mostPerWorker,
    boolean copies,
    boolean lasting) {}
