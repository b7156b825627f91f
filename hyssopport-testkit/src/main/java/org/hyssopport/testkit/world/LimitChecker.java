package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.policy.Resources;

/**
 * Checks that no start brings what an organisation really has running on all workers over its
 * limit. Of the limits that may be in force, the highest counts.
 */
final class LimitChecker {

  /** Longer than a configuration takes to reach the scheduler, and an order its worker. */
  static final Duration APPLY_TIME = Duration.ofSeconds(2);

  /** Longer than an order without an answer may be under way. */
  private static final Duration LATE_ORDER_TIME = Duration.ofSeconds(15);

  private final Map<JobId, OrganisationId> organisationByJob = new HashMap<>();
  private final Map<OrganisationId, Resources> running = new HashMap<>();
  private final Map<OrganisationId, List<StatedLimit>> limits = new HashMap<>();

  /** Since when, without a break, configurations name an organisation. */
  private final Map<OrganisationId, Instant> namedSince = new HashMap<>();

  /** A limit and since when a later configuration states another one, if one does. */
  private record StatedLimit(ResourceLimit limit, Instant until) {}

  void recordSubmission(JobId job, OrganisationId organisation) {
    organisationByJob.put(job, organisation);
  }

  /**
   * Records a configuration. Of an organisation that it leaves out, each limit that was ever stated
   * may be in force: its jobs were accepted under one of them, and have to run.
   */
  void recordConfiguration(List<Organisation> organisations, Instant at) {
    namedSince.keySet().retainAll(organisations.stream().map(Organisation::id).toList());
    for (Organisation organisation : organisations) {
      namedSince.putIfAbsent(organisation.id(), at);
      List<StatedLimit> stated =
          limits.computeIfAbsent(organisation.id(), each -> new ArrayList<>());
      if (!stated.isEmpty()) {
        StatedLimit last = stated.remove(stated.size() - 1);
        stated.add(new StatedLimit(last.limit(), at));
      }
      stated.add(new StatedLimit(organisation.limit(), Instant.MAX));
    }
  }

  /** Records a start; returns the finding if it exceeds every limit that may be in force. */
  Optional<String> recordStart(JobId job, Resources demand, Instant at, boolean lateOrder) {
    OrganisationId organisation = organisationByJob.get(job);
    if (organisation == null) {
      return Optional.empty();
    }
    Resources total = running.merge(organisation, demand, Resources::plus);
    Instant since = at.minus(lateOrder ? LATE_ORDER_TIME : APPLY_TIME);
    boolean named = !namedSince.getOrDefault(organisation, Instant.MAX).isAfter(since);
    List<ResourceLimit> inForce =
        limits.getOrDefault(organisation, List.of()).stream()
            .filter(stated -> !named || stated.until().isAfter(since))
            .map(StatedLimit::limit)
            .toList();
    boolean permitted = inForce.stream().anyMatch(limit -> limit.permits(total));
    return permitted
        ? Optional.empty()
        : Optional.of(at + " " + organisation + " has " + total + " running, limits " + inForce);
  }

  void recordEnd(JobId job, Resources demand) {
    OrganisationId organisation = organisationByJob.get(job);
    if (organisation != null) {
      running.merge(organisation, demand.times(-1), Resources::plus);
    }
  }

  /** Returns what an organisation has running. */
  Resources running(OrganisationId organisation) {
    return running.getOrDefault(organisation, Resources.NONE);
  }
}
