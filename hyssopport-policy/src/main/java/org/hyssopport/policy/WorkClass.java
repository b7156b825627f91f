package org.hyssopport.policy;

import java.time.Duration;

/**
 * One class of work: a service, a batch class or a gang class.
 *
 * @param name the name that callers give
 * @param kind how the work is scheduled
 * @param team the team that answers for it
 * @param resources what one request or task holds while it runs
 * @param patience how long a caller waits unless it states a deadline of its own
 * @param expectedRunTime the declared run time; observed run times correct it
 * @param maximumAttempts how often a task may be tried after it failed
 * @since 0.1
 */
public record WorkClass(
    String name,
    WorkKind kind,
    String team,
    Resources resources,
    Duration patience,
    Duration expectedRunTime,
    long maximumAttempts) {

  private static final Duration SERVICE_PATIENCE = Duration.ofSeconds(2);
  private static final Duration JOB_PATIENCE = Duration.ofHours(8);
  private static final Duration SERVICE_RUN_TIME = Duration.ofMillis(50);
  private static final Duration JOB_RUN_TIME = Duration.ofMinutes(1);
  private static final long DEFAULT_ATTEMPTS = 3;

  /** Returns a service of a team with one processor and 512 MiB. */
  public static WorkClass service(String name, String team) {
    return create(name, WorkKind.SERVICE, team, SERVICE_PATIENCE, SERVICE_RUN_TIME);
  }

  /** Returns a batch class of a team with one processor and 512 MiB a task. */
  public static WorkClass batch(String name, String team) {
    return create(name, WorkKind.BATCH, team, JOB_PATIENCE, JOB_RUN_TIME);
  }

  /** Returns a gang class of a team with one processor and 512 MiB a task. */
  public static WorkClass gang(String name, String team) {
    return create(name, WorkKind.GANG, team, JOB_PATIENCE, JOB_RUN_TIME);
  }

  /** Returns this class with other resources for each request or task. */
  public WorkClass holding(Resources newResources) {
    return new WorkClass(
        name, kind, team, newResources, patience, expectedRunTime, maximumAttempts);
  }

  /** Returns this class with another patience. */
  public WorkClass patientFor(Duration newPatience) {
    return new WorkClass(
        name, kind, team, resources, newPatience, expectedRunTime, maximumAttempts);
  }

  /** Returns this class with another declared run time. */
  public WorkClass running(Duration newExpectedRunTime) {
    return new WorkClass(
        name, kind, team, resources, patience, newExpectedRunTime, maximumAttempts);
  }

  /** Returns this class with another number of attempts. */
  public WorkClass attempting(long newMaximumAttempts) {
    return new WorkClass(
        name, kind, team, resources, patience, expectedRunTime, newMaximumAttempts);
  }

  private static WorkClass create(
      String name, WorkKind kind, String team, Duration patience, Duration runTime) {
    Resources resources = Resources.of(1, 512, 0);
    return new WorkClass(name, kind, team, resources, patience, runTime, DEFAULT_ATTEMPTS);
  }
}
