package org.hyssopport.policy;

/**
 * Limits on what a caller may ask for.
 *
 * @param maximumBodyBytes the largest request body in bytes
 * @param maximumTasksPerJob the most tasks that one job may have
 * @param maximumTask the most resources that one task may ask for
 * @since 0.1
 */
public record Limits(long maximumBodyBytes, long maximumTasksPerJob, Resources maximumTask) {

  private static final long DEFAULT_BODY_BYTES = 256 * 1024;
  private static final long DEFAULT_TASKS = 1_000;

  /** Returns the limits that hold unless an operator states others. */
  public static Limits standard() {
    return new Limits(DEFAULT_BODY_BYTES, DEFAULT_TASKS, Resources.of(64, 256 * 1024, 8));
  }
}
