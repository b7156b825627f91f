package org.hyssopport.testkit.cell;

import java.util.List;

/**
 * A scripted scenario as read from {@code scenarios.yaml}.
 *
 * @param name the behaviour that the scenario checks
 * @param line the number of the guarantee in {@code docs/PROOFS.md}: 1 no worker over its capacity,
 *     2 a batch task runs in one place, 3 an answer goes whole to its own request, 4 "not run" is
 *     true, 5 at most once, 6 nothing new on a leaving worker, 7 graceful shutdown interrupts
 *     nothing, 8 configuration in force within 4 s and never replaced by an older one; 0 for none
 * @param steps the steps in order
 */
record Scenario(String name, int line, List<ScenarioStep> steps) {

  @Override
  public String toString() {
    return name;
  }

  /**
   * A step of a scenario; each action uses only some of the components.
   *
   * @param action the action to take
   * @param on the instance, worker or failure domain that the action concerns
   * @param to the instances that callers send to or that are checked; for a network partition, the
   *     two failure domains
   * @param count the number of submissions, of a gang's tasks, of lost answers or of expected
   *     occurrences; 1 if left out
   * @param millis a wait, run time, delay or clock offset, in milliseconds
   * @param patience how long a caller waits for an answer, in milliseconds; 2000 if left out
   * @param verdict the expected outcome, or the kind of timeline event to count
   */
  record ScenarioStep(
      ScenarioAction action,
      String on,
      List<String> to,
      int count,
      long millis,
      long patience,
      String verdict) {

    /** Sets the defaults of components that the file leaves out. */
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
