package org.hyssopport.engine.quota;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepId;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.placement.StepOrder;
import org.hyssopport.policy.Resources;

/**
 * Orders the ready steps of organisations that share a cell.
 *
 * <p>Optimised for one organisation that sends many times its usual load while the cell is full. As
 * long as all that wants to run fits, urgency alone decides. Beyond that, each organisation has its
 * weighted share of the room: steps that begin within the share of their organisation come first,
 * by urgency; the others follow, those of the organisation that is least beyond its share first.
 * What an organisation doesn't use raises the shares of the others, and is theirs only until it
 * wants it again. Results that are useless to their callers come last.
 *
 * @since 0.3
 */
public final class FairShareOrder {

  /** Room that packing and lost workers leave unused; the cell is full before its sum is. */
  private static final double USABLE_ROOM = 0.9;

  private final OrganisationLimits limits;
  private final UsageLedger usage;
  private final Set<StepId> beyondShare = new HashSet<>();

  private FairShareOrder(OrganisationLimits limits, UsageLedger usage) {
    this.limits = limits;
    this.usage = usage;
  }

  /** Returns an order by the weights and the usage of organisations. */
  public static FairShareOrder of(OrganisationLimits limits, UsageLedger usage) {
    return new FairShareOrder(limits, usage);
  }

  /** What an organisation has and wants; one account is for the jobs of none. */
  private static final class Account {
    private final double weight;
    private Resources wanted;
    private Resources granted;

    private Account(double weight, Resources used) {
      this.weight = weight;
      wanted = used;
      granted = used;
    }

    private double demandPerWeight(Resources room) {
      return wanted.dominantShareOf(room) / weight;
    }

    private double grantedPerWeight(Resources room) {
      return granted.dominantShareOf(room) / weight;
    }
  }

  /** A step with how far its organisation is beyond its share before the step; 0 if within. */
  private record RankedStep(Step step, boolean useless, double excess) {}

  /**
   * Arranges the steps of a placement pass.
   *
   * @param byUrgency the ready steps, the most urgent first
   * @param room computes the resources of all workers that accept work
   * @param now the reading of the local monotonic clock
   * @return the steps in the order in which they are to be placed
   */
  public List<Step> arrange(List<Step> byUrgency, Supplier<Resources> room, Instant now) {
    beyondShare.clear();
    if (!limits.hasOrganisations()) {
      return byUrgency;
    }
    Map<Optional<OrganisationId>, Account> accounts = openAccounts(byUrgency);
    Resources all = room.get();
    double level = levelOfFullRoom(accounts.values(), all);
    if (level == Double.POSITIVE_INFINITY) {
      return byUrgency;
    }
    List<RankedStep> ranked = new ArrayList<>(byUrgency.size());
    for (Step step : byUrgency) {
      Account account = accounts.get(organisationOf(step));
      double granted = account.grantedPerWeight(all);
      boolean beyond = granted >= level;
      if (beyond) {
        beyondShare.add(step.id());
      }
      ranked.add(new RankedStep(step, StepOrder.isUseless(step, now), beyond ? granted : 0));
      account.granted = account.granted.plus(waitingDemand(step));
    }
    // The sort is stable, so that urgency decides among equals.
    ranked.sort(Comparator.comparing(RankedStep::useless).thenComparingDouble(RankedStep::excess));
    return ranked.stream().map(RankedStep::step).toList();
  }

  /** Returns whether a step lay beyond the share of its organisation in the last pass. */
  public boolean isBeyondShare(StepId step) {
    return beyondShare.contains(step);
  }

  private Map<Optional<OrganisationId>, Account> openAccounts(List<Step> steps) {
    Map<Optional<OrganisationId>, Account> accounts = new HashMap<>();
    for (OrganisationId running : usage.organisations()) {
      accounts.put(Optional.of(running), account(Optional.of(running)));
    }
    accounts.put(Optional.empty(), account(Optional.empty()));
    for (Step step : steps) {
      Account account = accounts.computeIfAbsent(organisationOf(step), this::account);
      account.wanted = account.wanted.plus(waitingDemand(step));
    }
    return accounts;
  }

  private Account account(Optional<OrganisationId> organisation) {
    Resources used =
        organisation.map(usage::attributedTo).orElseGet(usage::usedWithoutOrganisation);
    return new Account(limits.weightOf(organisation), used);
  }

  private static Optional<OrganisationId> organisationOf(Step step) {
    return step.job().definition().organisation();
  }

  private static Resources waitingDemand(Step step) {
    int waiting = 0;
    for (Task task : step.tasks()) {
      waiting += task.isWaiting() ? 1 : 0;
    }
    return step.definition().demand().times(waiting);
  }

  /**
   * Returns the share of the room for each unit of weight at which the room is full, if those that
   * want less get what they want; infinite if all get that.
   */
  private static double levelOfFullRoom(Collection<Account> accounts, Resources room) {
    List<Account> byDemand = new ArrayList<>(accounts);
    byDemand.sort(Comparator.comparingDouble(account -> account.demandPerWeight(room)));
    double left = USABLE_ROOM;
    double weights = byDemand.stream().mapToDouble(account -> account.weight).sum();
    for (Account account : byDemand) {
      double level = left / weights;
      if (account.demandPerWeight(room) > level) {
        return Math.max(0, level);
      }
      left -= account.wanted.dominantShareOf(room);
      weights -= account.weight;
    }
    return Double.POSITIVE_INFINITY;
  }
}
