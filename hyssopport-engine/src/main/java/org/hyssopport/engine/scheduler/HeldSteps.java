package org.hyssopport.engine.scheduler;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.quota.OrganisationLimits;

/**
 * Holds back the tasks that would take an organisation over its limit, and rejects the jobs that
 * never fit in it.
 */
final class HeldSteps {

  private final SchedulerContext context;
  private final OrganisationLimits limits;

  /** The waiting steps whose hold was logged; each is logged once. */
  private final Set<StepId> logged = new HashSet<>();

  HeldSteps(SchedulerContext context, OrganisationLimits limits) {
    this.context = context;
    this.limits = limits;
  }

  /** Returns whether a job is to be rejected, since one of its tasks or gangs can never run. */
  boolean rejects(JobDefinition job) {
    Optional<Organisation> exceeded = limits.exceededByAnyStep(job);
    exceeded.ifPresent(
        organisation ->
            context.logDecision(
                "rejected",
                job.id(),
                Map.of(
                    "reason", "a task or gang is larger than the limit of its organisation",
                    "organisation", organisation.id(),
                    "limit", organisation.limit(),
                    "version", limits.configurationVersion().orElse(0L))));
    return exceeded.isPresent();
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
