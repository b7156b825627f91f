package org.hyssopport.policy;

import java.time.Duration;

/**
 * A class of work with common scheduling properties: a service, or a class of batch or gang jobs.
 *
 * @param name the name by which callers refer to the class
 * @param kind the kind of work, which determines how it is scheduled
 * @param team the name of the team that owns the class
 * @param resources the resources that a request or task holds while it runs
 * @param patience the time until the deadline of a request or job that states none
 * @param expectedRunTime the declared run time of a request or task; corrected by observed run
 *     times
 * @param maximumAttempts the number of failed attempts after which a task is not tried again
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

  /** Returns a service of a team; a request holds one processor and 512 MiB by default. */
  public static WorkClass service(String name, String team) {
    return create(name, WorkKind.SERVICE, team, SERVICE_PATIENCE, SERVICE_RUN_TIME);
  }

  /** Returns a class of batch jobs; a task holds one processor and 512 MiB by default. */
  public static WorkClass batch(String name, String team) {
    return create(name, WorkKind.BATCH, team, JOB_PATIENCE, JOB_RUN_TIME);
  }

  /** Returns a class of gang jobs; a task holds one processor and 512 MiB by default. */
  public static WorkClass gang(String name, String team) {
    return create(name, WorkKind.GANG, team, JOB_PATIENCE, JOB_RUN_TIME);
  }

  /** Returns a copy of this class with the given resources for each request or task. */
  public WorkClass holding(Resources newResources) {
    return new WorkClass(
        name, kind, team, newResources, patience, expectedRunTime, maximumAttempts);
  }

  /** Returns a copy of this class with the given time until the default deadline. */
  public WorkClass patientFor(Duration newPatience) {
    return new WorkClass(
        name, kind, team, resources, newPatience, expectedRunTime, maximumAttempts);
  }

  /** Returns a copy of this class with the given declared run time. */
  public WorkClass running(Duration newExpectedRunTime) {
    return new WorkClass(
        name, kind, team, resources, patience, newExpectedRunTime, maximumAttempts);
  }

  /** Returns a copy of this class with the given maximum number of attempts. */
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
