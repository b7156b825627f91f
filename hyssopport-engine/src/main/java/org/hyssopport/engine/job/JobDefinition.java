package org.hyssopport.engine.job;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A job as it was accepted.
 *
 * @param id its id
 * @param queue the policy of its queue
 * @param payload what its tasks are told to do
 * @param steps its steps
 * @param occurrences how often it runs at stated times; 0 for once and at once
 * @param firstDue when the first occurrence is due, by the time of day
 * @param interval the time between occurrences
 * @param acceptedAt when it was accepted, by the time of day
 * @since 0.2
 */
public record JobDefinition(
    JobId id,
    QueuePolicy queue,
    String payload,
    List<StepDefinition> steps,
    int occurrences,
    Instant firstDue,
    Duration interval,
    Instant acceptedAt) {

  /** Returns how many times the steps run in all. */
  public int occurrenceCount() {
    return Math.max(1, occurrences);
  }

  /** Tells whether the job runs at stated times. */
  public boolean timed() {
    return occurrences > 0;
  }

  /** Returns when an occurrence is due, by the time of day. */
  public Instant dueAt(int occurrence) {
    return timed() ? firstDue.plus(interval.multipliedBy(occurrence)) : acceptedAt;
  }

  /** Returns the declared length of the longest chain of steps. */
  public Duration longestChain() {
    Duration[] ends = new Duration[steps.size()];
    Duration longest = Duration.ZERO;
    for (int step = 0; step < steps.size(); step++) {
      Duration begin = Duration.ZERO;
      for (int earlier : steps.get(step).after()) {
        begin = begin.compareTo(ends[earlier]) < 0 ? ends[earlier] : begin;
      }
      ends[step] = begin.plus(steps.get(step).estimate());
      longest = longest.compareTo(ends[step]) < 0 ? ends[step] : longest;
    }
    return longest;
  }

  /** Returns the declared work of one occurrence in processor-seconds. */
  public double work() {
    double work = 0;
    for (StepDefinition step : steps) {
      work += step.tasks() * step.demand().milliProcessors() / 1e6 * step.estimate().toMillis();
    }
    return work;
  }
}
