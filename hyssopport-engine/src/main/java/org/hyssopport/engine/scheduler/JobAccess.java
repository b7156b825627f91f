package org.hyssopport.engine.scheduler;

import java.util.Map;
import org.hyssopport.engine.organisation.CallerIdentity;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;

/**
 * Decides whether a request may concern the job that it names.
 *
 * <p>Answers requests of one organisation that name a job of another one, by mistake or to learn
 * about it: they are answered as if the job did not exist, and never change it.
 */
final class JobAccess {

  private final SchedulerContext context;
  private final JobRegistry jobs;

  JobAccess(SchedulerContext context, JobRegistry jobs) {
    this.context = context;
    this.jobs = jobs;
  }

  /** Returns whether the job of the request is unknown or open to the caller. */
  boolean permits(CallerRequest request) {
    boolean open = jobs.isOpenTo(request.job(), request.caller());
    if (!open) {
      context.logDecision(
          "job of another organisation",
          request.job(),
          Map.of(
              "asked",
              request.getClass().getSimpleName(),
              "caller",
              request
                  .caller()
                  .flatMap(CallerIdentity::organisation)
                  .map(OrganisationId::name)
                  .orElse("public route")));
    }
    return open;
  }

  /** Returns the answer to a request that is not permitted. */
  static CallerAnswer refusalOf(CallerRequest request) {
    return CallerAnswer.of(
        request instanceof CallerRequest.Submit ? Verdict.ID_IN_USE : Verdict.UNKNOWN_JOB);
  }
}
