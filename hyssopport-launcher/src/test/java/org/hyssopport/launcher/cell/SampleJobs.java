package org.hyssopport.launcher.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.policy.Resources;

/** Creates jobs of which a test sets only what it is about. */
final class SampleJobs {

  static final QueuePolicy QUEUE =
      new QueuePolicy("q", "s", 0, 1, 1, Duration.ZERO, Optional.empty());

  private SampleJobs() {}

  /** Returns a step of tasks that take a second each and depend on nothing. */
  static StepDefinition step(int tasks) {
    return step(tasks, Duration.ofSeconds(1), List.of(), Optional.empty());
  }

  static StepDefinition step(
      int tasks, Duration estimate, List<Integer> after, Optional<String> requiredLabel) {
    return new StepDefinition(
        tasks,
        new Resources(1, 1, 0),
        estimate,
        after,
        false,
        false,
        false,
        requiredLabel,
        Optional.empty(),
        0,
        false,
        false);
  }

  /** Returns a job that runs once. */
  static JobDefinition job(
      JobId id, QueuePolicy queue, List<StepDefinition> steps, Instant acceptedAt) {
    return new JobDefinition(
        id, queue, "", steps, 0, Instant.EPOCH, Duration.ZERO, acceptedAt, Optional.empty());
  }
}
