package org.hyssopport.testkit.world;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.policy.Resources;

/** Creates steps and queues for test jobs. */
final class Steps {

  private Steps() {}

  static StepDefinition plain(int tasks, long milliProcessors, int millis) {
    return step(tasks, milliProcessors, millis, false, List.of());
  }

  static StepDefinition gang(int tasks, long milliProcessors, int millis) {
    return step(tasks, milliProcessors, millis, true, List.of());
  }

  static StepDefinition dependent(int earlier, int tasks, long milliProcessors, int millis) {
    return step(tasks, milliProcessors, millis, false, List.of(earlier));
  }

  /** Returns a step whose tasks run until the job is cancelled, one on each worker. */
  static StepDefinition lasting(int tasks, long milliProcessors) {
    return onePerWorker(plain(tasks, milliProcessors, 1000), true);
  }

  /** Returns the step with the limit of one task on each worker. */
  static StepDefinition onePerWorker(StepDefinition step) {
    return onePerWorker(step, step.lasting());
  }

  private static StepDefinition onePerWorker(StepDefinition step, boolean lasting) {
    return new StepDefinition(
        step.tasks(),
        step.demand(),
        step.estimate(),
        step.after(),
        step.checkpoint(),
        step.gang(),
        step.sameRack(),
        step.requiredLabel(),
        step.preferredRack(),
        1,
        step.copies(),
        lasting);
  }

  private static StepDefinition step(
      int tasks, long milliProcessors, int millis, boolean gang, List<Integer> after) {
    return new StepDefinition(
        tasks,
        new Resources(milliProcessors, 1000, 0),
        Duration.ofMillis(millis),
        after,
        true,
        gang,
        false,
        Optional.empty(),
        Optional.empty(),
        0,
        false,
        false);
  }

  static QueuePolicy queue(int priority, int attempts) {
    return new QueuePolicy(
        "queue-" + priority,
        SimulatedWorkers.SERVICE,
        priority,
        attempts,
        2,
        Duration.ofSeconds(1),
        Optional.empty());
  }

  static QueuePolicy advisedQueue(int priority, int decideMillis) {
    return new QueuePolicy(
        "advised-" + priority,
        SimulatedWorkers.SERVICE,
        priority,
        4,
        2,
        Duration.ofSeconds(1),
        Optional.of(
            new AdvicePolicy(
                Duration.ofMillis(decideMillis), Duration.ofMillis(1), Duration.ofMillis(1500))));
  }
}
