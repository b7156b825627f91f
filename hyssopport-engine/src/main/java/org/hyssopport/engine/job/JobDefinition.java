package org.hyssopport.engine.job;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.organisation.OrganisationId;

/**
 * The definition of a job, as it was accepted.
 *
 * @param id the id of the job
 * @param queue the policy of its queue when the job was accepted; the job follows newer ones, see
 *     {@link Job#queue()}
 * @param payload what its tasks have to do, passed to the workers unchanged
 * @param steps its steps; each comes after those that it depends on
 * @param occurrences how often it runs on a schedule; 0 to run once, immediately
 * @param firstDue the wall-clock time at which the first occurrence is due
 * @param interval the time between occurrences
 * @param acceptedAt when it was accepted, by the monotonic clock of the member that accepted it,
 *     which shows the wall-clock time as of that member's start
 * @param organisation the organisation that submitted it; empty if its caller needed no key, and in
 *     records of earlier versions
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
    Instant acceptedAt,
    Optional<OrganisationId> organisation) {

  /** How many tasks a job may have in all occurrences; the scheduler keeps each in memory. */
  public static final long MAXIMUM_TASKS = 100_000;

  private static final Duration LONGEST_TIME = Duration.ofDays(3_660);

  /** The time that a job may be allowed, which is a multiple of its longest chain of steps. */
  private static final Duration LONGEST_ALLOWED_TIME = LONGEST_TIME.multipliedBy(1000);

  /**
   * Returns whether a scheduler can hold the job and compute its times. Definitions from callers
   * are validated before; this is for those that are read from the journal.
   */
  public boolean isComputable() {
    long tasks = 0;
    for (int index = 0; index < steps.size(); index++) {
      int stepIndex = index;
      StepDefinition step = steps.get(index);
      boolean afterEarlierSteps =
          step.after().stream().allMatch(earlier -> earlier >= 0 && earlier < stepIndex);
      if (step.tasks() < 1 || !afterEarlierSteps || exceedsLongestTime(step.estimate())) {
        return false;
      }
      tasks += step.tasks();
    }
    return tasks <= MAXIMUM_TASKS / occurrenceCount()
        && isAllowedTimeComputable()
        && !exceedsLongestTime(interval)
        && !exceedsLongestTime(Duration.between(Instant.EPOCH, firstDue).dividedBy(1000))
        && !exceedsLongestTime(Duration.between(Instant.EPOCH, acceptedAt).dividedBy(1000));
  }

  private boolean isAllowedTimeComputable() {
    double stretchedMillis = queue.stretch() * longestChain().toMillis();
    return queue.allowance().abs().compareTo(LONGEST_ALLOWED_TIME) <= 0
        && Math.abs(stretchedMillis) <= LONGEST_ALLOWED_TIME.toMillis();
  }

  private static boolean exceedsLongestTime(Duration time) {
    return time.abs().compareTo(LONGEST_TIME) > 0;
  }

  /** Returns how many times the steps run in total. */
  public int occurrenceCount() {
    return Math.max(1, occurrences);
  }

  /** Returns whether the job runs on a schedule. */
  public boolean timed() {
    return occurrences > 0;
  }

  /** Returns the wall-clock time at which an occurrence is due. */
  public Instant dueAt(int occurrence) {
    return timed() ? firstDue.plus(interval.multipliedBy(occurrence)) : acceptedAt;
  }

  /** Returns the declared run time of the longest chain of dependent steps. */
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

  /** Returns the declared amount of work of one occurrence in processor-seconds. */
  public double work() {
    double work = 0;
    for (StepDefinition step : steps) {
      work += step.tasks() * step.demand().milliProcessors() / 1e6 * step.estimate().toMillis();
    }
    return work;
  }
}
