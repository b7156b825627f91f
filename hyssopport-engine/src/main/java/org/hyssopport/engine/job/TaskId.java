package org.hyssopport.engine.job;

/**
 * Identifies one task of a step.
 *
 * @param step the step
 * @param index the index of the task in the step, from 0
 * @since 0.2
 */
public record TaskId(StepId step, int index) {

  @Override
  public String toString() {
    return step + "." + index;
  }

  // Hand-written for speed: every order and every reported run is looked up by this key.
  @Override
  public boolean equals(Object object) {
    return object instanceof TaskId other && index == other.index && step.equals(other.step);
  }

  @Override
  public int hashCode() {
    return 31 * step.hashCode() + index;
  }
}
