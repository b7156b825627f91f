package org.hyssopport.engine.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.platform.WorkerId;

/**
 * Chooses workers for the tasks of a step.
 *
 * <p>Optimised for a workload in which gangs of tasks of eighteen processors run beside tasks of a
 * few processors. Tasks go to the workers on which they leave the fewest processors unused, so that
 * whole workers stay free for large tasks. A gang is placed as a whole or not at all. Workers that
 * are due for a trial come first, except for gangs, which would fail as a whole.
 *
 * @since 0.2
 */
public final class Placer {

  private Placer() {}

  /**
   * Places as many tasks of a step as fit on the candidates.
   *
   * <p>Tasks that should share a rack are spread over several racks if they do not all fit on one.
   *
   * @param step the step
   * @param tasks how many tasks have to be placed
   * @param candidates the workers that the tasks may be placed on
   * @return a worker for each placed task; for a gang either as many as tasks or none
   */
  public static List<WorkerId> place(StepDefinition step, int tasks, List<Candidate> candidates) {
    List<Candidate> fitting =
        candidates.stream().filter(candidate -> candidate.fittingTasks(step.demand()) > 0).toList();
    if (step.sameRack() && tasks > 1) {
      List<WorkerId> onOneRack = placeOnOneRack(step, tasks, fitting);
      if (onOneRack.size() == tasks) {
        return onOneRack;
      }
    }
    List<WorkerId> placed = placeInOrder(step, tasks, fitting);
    return step.gang() && placed.size() < tasks ? List.of() : placed;
  }

  private static List<WorkerId> placeOnOneRack(
      StepDefinition step, int tasks, List<Candidate> candidates) {
    Map<String, List<Candidate>> racks =
        candidates.stream().collect(Collectors.groupingBy(Candidate::rack));
    return racks.values().stream()
        .map(rack -> placeInOrder(step, tasks, rack))
        .filter(placed -> placed.size() == tasks)
        .findFirst()
        .orElse(List.of());
  }

  private static List<WorkerId> placeInOrder(
      StepDefinition step, int tasks, List<Candidate> candidates) {
    List<Candidate> ordered = new ArrayList<>(candidates);
    ordered.sort(bestFirst(step));
    List<WorkerId> placed = new ArrayList<>();
    for (Candidate candidate : ordered) {
      int fitting = Math.min(candidate.fittingTasks(step.demand()), tasks - placed.size());
      for (int count = 0; count < fitting; count++) {
        placed.add(candidate.worker());
      }
      if (placed.size() == tasks) {
        break;
      }
    }
    return placed;
  }

  private static Comparator<Candidate> bestFirst(StepDefinition step) {
    return Comparator.comparing((Candidate candidate) -> !isPreferred(step, candidate))
        .thenComparing(candidate -> !candidate.trial() || step.gang())
        .thenComparingLong(candidate -> unusedProcessors(step, candidate))
        .thenComparing(Candidate::worker);
  }

  private static boolean isPreferred(StepDefinition step, Candidate candidate) {
    return step.preferredRack().map(candidate.rack()::equals).orElse(true);
  }

  /** Returns the milliprocessors left unused once the worker runs as many tasks as fit. */
  private static long unusedProcessors(StepDefinition step, Candidate candidate) {
    long demand = step.demand().milliProcessors();
    return candidate.freeResources().milliProcessors()
        - candidate.fittingTasks(step.demand()) * demand;
  }
}
