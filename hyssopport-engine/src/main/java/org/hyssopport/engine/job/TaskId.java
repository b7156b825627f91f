package org.hyssopport.engine.job;

/**
 * Identifies one task of a step.
 *
 * @param step the step
 * @param index the task's place in the step, from 0
 * @since 0.2
 */
public record TaskId(StepId step, int index) {

  @Override
  public String toString() {
    return step + "." + index;
  }
}
