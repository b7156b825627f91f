package org.hyssopport.engine.quota;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.worker.RunListener;
import org.hyssopport.engine.worker.TrackedRun;
import org.hyssopport.policy.Resources;

/**
 * Counts what each organisation may have running on all workers together.
 *
 * <p>A run counts for as long as the scheduler tracks it on a worker: from its assignment until it
 * is proved to be over. That includes runs that are being stopped, that an earlier scheduler
 * assigned, and that are on lost workers whose leases have not surely expired.
 *
 * <p>Kept incrementally: a recount at each decision would cost the scheduler one look at each of
 * thousands of runs.
 *
 * @since 0.3
 */
public final class UsageLedger implements RunListener {

  private final Map<OrganisationId, Resources> usedByOrganisation = new HashMap<>();
  private final Map<JobId, Integer> runsByJob = new HashMap<>();

  /** The runs of jobs that no organisation submitted. */
  private Resources withoutOrganisation = Resources.NONE;

  /** The runs of unknown steps, each of which may be of any organisation. */
  private Resources unattributed = Resources.NONE;

  private UsageLedger() {}

  /** Returns a ledger without runs. */
  public static UsageLedger empty() {
    return new UsageLedger();
  }

  /** Returns a ledger that counts the given runs. */
  public static UsageLedger recount(Collection<TrackedRun> runs) {
    UsageLedger ledger = empty();
    runs.forEach(ledger::onRunAdded);
    return ledger;
  }

  @Override
  public void onRunAdded(TrackedRun run) {
    if (run.step().isEmpty()) {
      unattributed = unattributed.plus(run.demand());
      return;
    }
    organisationOf(run.step().get())
        .ifPresentOrElse(
            organisation -> {
              usedByOrganisation.merge(organisation, run.demand(), Resources::plus);
              runsByJob.merge(run.step().get().job().id(), 1, Integer::sum);
            },
            () -> withoutOrganisation = withoutOrganisation.plus(run.demand()));
  }

  @Override
  public void onRunRemoved(TrackedRun run) {
    if (run.step().isEmpty()) {
      unattributed = unattributed.minus(run.demand());
      return;
    }
    organisationOf(run.step().get())
        .ifPresentOrElse(
            organisation -> {
              usedByOrganisation.computeIfPresent(
                  organisation, (each, used) -> nonZero(used.minus(run.demand())));
              runsByJob.computeIfPresent(
                  run.step().get().job().id(), (each, runs) -> runs == 1 ? null : runs - 1);
            },
            () -> withoutOrganisation = withoutOrganisation.minus(run.demand()));
  }

  private static Resources nonZero(Resources amount) {
    return amount.equals(Resources.NONE) ? null : amount;
  }

  private static Optional<OrganisationId> organisationOf(Step step) {
    return step.job().definition().organisation();
  }

  /**
   * Returns the most that an organisation may have running. A run of an unknown step counts for
   * every organisation, since it may be of any.
   */
  public Resources usedBy(OrganisationId organisation) {
    return unattributed.plus(attributedTo(organisation));
  }

  /** Returns what an organisation may have running, without the runs of unknown steps. */
  public Resources attributedTo(OrganisationId organisation) {
    return usedByOrganisation.getOrDefault(organisation, Resources.NONE);
  }

  /** Returns what jobs that no organisation submitted may have running. */
  public Resources usedWithoutOrganisation() {
    return withoutOrganisation;
  }

  /** Returns the organisations that may have runs. */
  public Set<OrganisationId> organisations() {
    return Collections.unmodifiableSet(usedByOrganisation.keySet());
  }

  /** Returns whether a job of an organisation may have runs. */
  public boolean hasRuns(JobId job) {
    return runsByJob.containsKey(job);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof UsageLedger that
        && usedByOrganisation.equals(that.usedByOrganisation)
        && runsByJob.equals(that.runsByJob)
        && withoutOrganisation.equals(that.withoutOrganisation)
        && unattributed.equals(that.unattributed);
  }

  @Override
  public int hashCode() {
    return usedByOrganisation.hashCode();
  }

  @Override
  public String toString() {
    return "used " + usedByOrganisation + ", unattributed " + unattributed;
  }
}
