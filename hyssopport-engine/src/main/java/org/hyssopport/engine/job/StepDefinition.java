package org.hyssopport.engine.job;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hyssopport.policy.Resources;

/**
 * The definition of a step, as the caller declared it.
 *
 * @param tasks the number of its tasks
 * @param demand the resources that each task needs
 * @param estimate a rough estimate of the run time of a task
 * @param after the indexes, from 0, of the earlier steps that have to be done first
 * @param checkpoint whether its tasks save checkpoints
 * @param gang whether its tasks must all run at the same time
 * @param sameRack whether its tasks run slower if spread over several racks
 * @param requiredLabel a label that a worker must have to run its tasks
 * @param preferredRack the rack that holds the data of its tasks
 * @param mostPerWorker how many of its tasks may run on one worker; 0 for any number
 * @param copies whether several runs of a task may be in progress at the same time
 * @param lasting whether its tasks run until the job is cancelled
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
