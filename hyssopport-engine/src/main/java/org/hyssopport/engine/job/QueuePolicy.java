package org.hyssopport.engine.job;

import java.time.Duration;
import java.util.Optional;

/**
 * The policy of a queue in one version of the configuration.
 *
 * <p>A job should be complete within {@code stretch} times the run time of its longest chain of
 * steps, plus {@code allowance}.
 *
 * @param name the queue's name
 * @param service the service whose workers run the tasks
 * @param priority the priority; 0 is the most urgent
 * @param attempts the number of failures of a task, or of a gang, at which its job fails
 * @param stretch the factor applied to the run time of the job's longest chain of steps
 * @param allowance the time that is added to the stretched run time
 * @param advice present if only workers that the advice service approves may run the tasks
 * @param configurationVersion the version of the configuration that states the policy; 0 in records
 *     of earlier versions of this program
 * @since 0.2
 */
public record QueuePolicy(
    String name,
    String service,
    int priority,
    int attempts,
    double stretch,
    Duration allowance,
    Optional<AdvicePolicy> advice,
    long configurationVersion) {

  /** Creates a policy that every configuration replaces. */
  public QueuePolicy(
      String name,
      String service,
      int priority,
      int attempts,
      double stretch,
      Duration allowance,
      Optional<AdvicePolicy> advice) {
    this(name, service, priority, attempts, stretch, allowance, advice, 0);
  }

  /** Returns the newer one of this policy and another policy of the same queue. */
  public QueuePolicy newerOf(QueuePolicy other) {
    return other.configurationVersion > configurationVersion ? other : this;
  }
}
