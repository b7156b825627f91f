package org.hyssopport.engine.quota;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.policy.Resources;

/**
 * Decides how much more each organisation may start, from what the {@link UsageLedger} counts and
 * the configuration in force.
 *
 * <p>Optimised for an organisation that sends many times its usual load: its steps are found to be
 * beyond the limit before any worker is looked at for them.
 *
 * @since 0.3
 */
public final class OrganisationLimits {

  private final UsageLedger ledger;

  /** The last known limit of each organisation, also of those that no longer are configured. */
  private final Map<OrganisationId, ResourceLimit> lastLimits = new HashMap<>();

  private final Map<OrganisationId, Long> weights = new HashMap<>();
  private Optional<CellConfiguration> configuration = Optional.empty();

  private OrganisationLimits(UsageLedger ledger) {
    this.ledger = ledger;
  }

  /** Returns limits of which no configuration is known, so that no organisation may start. */
  public static OrganisationLimits withoutConfiguration(UsageLedger ledger) {
    return new OrganisationLimits(ledger);
  }

  /** Puts a configuration in force. */
  public void applyConfiguration(CellConfiguration newer) {
    configuration = Optional.of(newer);
    weights.clear();
    newer
        .organisations()
        .ifPresent(
            directory ->
                directory
                    .all()
                    .forEach(
                        organisation -> {
                          lastLimits.put(organisation.id(), organisation.limit());
                          weights.put(organisation.id(), organisation.weight());
                        }));
  }

  /** Returns the version of the configuration in force; empty if none is known yet. */
  public Optional<Long> configurationVersion() {
    return configuration.map(CellConfiguration::version);
  }

  /** Returns the organisations of the configuration in force. */
  public Set<OrganisationId> organisations() {
    return Collections.unmodifiableSet(weights.keySet());
  }

  /** Returns the sum of the weights of these organisations. */
  double totalWeight() {
    return weights.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Returns whether the configuration in force states organisations. */
  public boolean hasOrganisations() {
    return !weights.isEmpty();
  }

  /**
   * Returns the weight of an organisation. One that is no longer configured has the least, since
   * nobody is owed more for it; jobs that no organisation submitted share that of an average one.
   */
  public double weightOf(Optional<OrganisationId> organisation) {
    return organisation.isPresent()
        ? weights.getOrDefault(organisation.get(), 1L)
        : weights.values().stream().mapToLong(Long::longValue).average().orElse(1);
  }

  /** Returns the last known limit of an organisation; empty if this process never knew one. */
  public Optional<ResourceLimit> limitOf(OrganisationId organisation) {
    return Optional.ofNullable(lastLimits.get(organisation));
  }

  /** Returns what an organisation may have running. */
  public Resources usedBy(OrganisationId organisation) {
    return ledger.usedBy(organisation);
  }

  /**
   * Returns how many tasks of a step may be started now; for a gang, all that wait or none.
   *
   * <p>An organisation that the configuration no longer names keeps its last known limit. If this
   * process never knew one, its accepted jobs run one gang or task at a time: each of them was
   * within its limit when it was accepted.
   *
   * @param job the job
   * @param step a step of the job
   * @param waiting how many tasks of the step wait
   * @return how many may be started
   */
  public int permittedTasks(JobDefinition job, StepDefinition step, int waiting) {
    if (job.organisation().isEmpty()) {
      return waiting;
    }
    if (configuration.isEmpty()) {
      return 0;
    }
    OrganisationId organisation = job.organisation().get();
    Resources used = ledger.usedBy(organisation);
    Optional<ResourceLimit> limit = limitOf(organisation);
    if (limit.isEmpty()) {
      return used.equals(Resources.NONE) ? (step.gang() ? waiting : 1) : 0;
    }
    int fitting = fittingTasks(limit.get(), used, step.demand(), waiting);
    return step.gang() && fitting < waiting ? 0 : fitting;
  }

  private static int fittingTasks(
      ResourceLimit limit, Resources used, Resources demand, int waiting) {
    if (!limit.permits(used)) {
      return 0;
    }
    long fitting = waiting;
    fitting =
        Math.min(
            fitting,
            fittingTasks(
                limit.milliProcessors(), used.milliProcessors(), demand.milliProcessors()));
    fitting =
        Math.min(
            fitting,
            fittingTasks(
                limit.memoryMebibytes(), used.memoryMebibytes(), demand.memoryMebibytes()));
    fitting =
        Math.min(
            fitting,
            fittingTasks(limit.accelerators(), used.accelerators(), demand.accelerators()));
    return (int) fitting;
  }

  private static long fittingTasks(long limit, long used, long demand) {
    return limit == 0 || demand == 0 ? Long.MAX_VALUE : (limit - used) / demand;
  }

  /** Returns whether the organisation of a job now has more running than it may have. */
  public boolean isExceeded(JobDefinition job) {
    return job.organisation()
        .filter(
            organisation ->
                limitOf(organisation)
                    .filter(limit -> !limit.permits(ledger.usedBy(organisation)))
                    .isPresent())
        .isPresent();
  }

  /**
   * Returns the organisation whose limit a job can never meet: a task of it, or a gang, is larger
   * than the limit. Empty if there is none or if no limit is known.
   */
  public Optional<Organisation> exceededByAnyStep(JobDefinition job) {
    return configuration
        .flatMap(CellConfiguration::organisations)
        .flatMap(directory -> job.organisation().flatMap(directory::find))
        .filter(
            organisation ->
                job.steps().stream()
                    .anyMatch(step -> !organisation.limit().permits(smallestStart(step))));
  }

  /** Returns the least that has to run at the same time for the step to go on. */
  private static Resources smallestStart(StepDefinition step) {
    return step.gang() ? step.demand().times(step.tasks()) : step.demand();
  }
}
