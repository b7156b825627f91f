package org.hyssopport.engine.quota;

import java.util.List;
import java.util.Optional;

/**
 * What a scheduler needs to let organisations share a cell.
 *
 * @param usage what each organisation has running
 * @param limits how much more each may start
 * @param shareOrder whose turn it is when the cell is full
 * @since 0.3
 */
public record OrganisationSharing(
    UsageLedger usage, OrganisationLimits limits, FairShareOrder shareOrder) {

  /** Returns the sharing of a scheduler that knows of no run and no configuration yet. */
  public static OrganisationSharing create() {
    UsageLedger usage = UsageLedger.empty();
    OrganisationLimits limits = OrganisationLimits.withoutConfiguration(usage);
    return new OrganisationSharing(usage, limits, FairShareOrder.of(limits, usage));
  }

  /** Returns what each organisation uses and may use; empty on a cell without organisations. */
  public List<OrganisationUsage> describe() {
    double allWeights = limits.totalWeight();
    return limits.organisations().stream()
        .map(
            id ->
                new OrganisationUsage(
                    id,
                    usage.attributedTo(id),
                    limits.limitOf(id),
                    limits.weightOf(Optional.of(id)) / allWeights))
        .toList();
  }
}
