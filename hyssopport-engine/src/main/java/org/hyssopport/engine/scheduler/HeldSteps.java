package org.hyssopport.engine.scheduler;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.quota.OrganisationLimits;

/** Holds back the tasks that would take an organisation over its limit. */
final class HeldSteps {

  private final SchedulerContext context;
  private final OrganisationLimits limits;

  /** The waiting steps whose hold was logged; each is logged once. */
  private final Set<StepId> logged = new HashSet<>();

  HeldSteps(SchedulerContext context, OrganisationLimits limits) {
    this.context = context;
    this.limits = limits;
  }

  /** Returns the waiting tasks of a step that may be started; for a gang, all of them or none. */
  List<Task> permitted(Step step) {
    List<Task> waiting = step.waitingTasks();
    JobDefinition job = step.job().definition();
    int permitted = limits.permittedTasks(job, step.definition(), waiting.size());
    if (permitted == waiting.size()) {
      return waiting;
    }
    if (permitted == 0 && logged.add(step.id())) {
      logHold(step, waiting.size(), job.organisation().orElseThrow());
    }
    return waiting.subList(0, permitted);
  }

  private void logHold(Step step, int waiting, OrganisationId organisation) {
    context.logDecision(
        "held back by limit",
        step.id(),
        Map.of(
            "organisation", organisation,
            "tasks", waiting,
            "demand", step.definition().demand(),
            "used", limits.usedBy(organisation),
            "limit", limits.limitOf(organisation).map(Object::toString).orElse("not known"),
            "version", limits.configurationVersion().map(Object::toString).orElse("none")));
  }

  void forget(StepId step) {
    logged.remove(step);
  }
}
