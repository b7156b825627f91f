package org.hyssopport.policy;

/**
 * Limits on what a caller may request.
 *
 * @param maximumBodyBytes the maximum size of a request body in bytes
 * @param maximumTasksPerJob the maximum number of tasks of a job
 * @param maximumTask the maximum resources of a task
 * @since 0.1
 */
public record Limits(long maximumBodyBytes, long maximumTasksPerJob, Resources maximumTask) {

  private static final long DEFAULT_BODY_BYTES = 256 * 1024;
  private static final long DEFAULT_TASKS = 1_000;

  /** Returns the default limits, which apply unless the configuration states others. */
  public static Limits standard() {
    return new Limits(DEFAULT_BODY_BYTES, DEFAULT_TASKS, Resources.of(64, 256 * 1024, 8));
  }
}
