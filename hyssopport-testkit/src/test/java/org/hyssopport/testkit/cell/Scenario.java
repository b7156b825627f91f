package org.hyssopport.testkit.cell;

import java.util.List;

/**
 * A scripted scenario as read from its file.
 *
 * @param name what it shows
 * @param line the number of the line of what must always hold
 * @param steps the steps in order
 */
record Scenario(String name, int line, List<ScenarioStep> steps) {

  @Override
  public String toString() {
    return name;
  }

  /**
   * One step.
   *
   * @param action what to do
   * @param on the instance, worker or failure domain that it is done to
   * @param to the instances that a caller sends to
   * @param count how many
   * @param millis a length of time or run time, in milliseconds
   * @param patience how long a caller waits, in milliseconds
   * @param verdict the outcome that is expected
   */
  record ScenarioStep(
      ScenarioAction action,
      String on,
      List<String> to,
      int count,
      long millis,
      long patience,
      String verdict) {

    /** Fills in what the file leaves out. */
    ScenarioStep {
      to = to == null ? List.of() : List.copyOf(to);
      count = count == 0 ? 1 : count;
      patience = patience == 0 ? 2000 : patience;
    }

    String receiver(int number) {
      return to.get(number % to.size());
    }
  }
}
