package org.hyssopport.testkit.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;

/**
 * The organisations that share the load of a service: a few large ones and many small ones, each
 * with a weight in proportion to its usual load.
 *
 * @param count the number of organisations; 0 for a service that belongs to one
 * @param surgeFactor by which the largest one exceeds its usual load for some seconds; 1 for no
 *     surge
 * @since 0.3
 */
public record OrganisationMix(int count, double surgeFactor) {

  /** A service without organisations. */
  public static final OrganisationMix NONE = new OrganisationMix(0, 1);

  private static final double SURGE_FACTOR = 7.5;
  private static final double SURGE_FROM_SECOND = 8;
  private static final double SURGE_UNTIL_SECOND = 14.5;

  /** Weights fall with this power of the rank. */
  private static final double SKEW = 1.2;

  private static final double LARGEST_WEIGHT = 100;

  /** Returns a mix whose organisations all send their usual load. */
  public static OrganisationMix withoutSurge(int count) {
    return new OrganisationMix(count, 1);
  }

  /** Returns a mix whose largest organisation sends 7.5 times its usual load for 6.5 s. */
  public static OrganisationMix withSurge(int count) {
    return new OrganisationMix(count, SURGE_FACTOR);
  }

  /** Returns what tells this mix from others in the name of a result. */
  public String suffix() {
    String surge = surgeFactor > 1 ? ", surge of the largest" : "";
    return count == 0 ? "" : ", organisations " + count + surge;
  }

  List<Organisation> organisations() {
    List<Organisation> organisations = new ArrayList<>();
    for (int rank = 0; rank < count; rank++) {
      organisations.add(new Organisation(idOf(rank), weight(rank), ResourceLimit.NONE, Set.of()));
    }
    return organisations;
  }

  private static OrganisationId idOf(int rank) {
    return new OrganisationId("organisation-" + rank);
  }

  private static long weight(int rank) {
    return Math.max(1, Math.round(LARGEST_WEIGHT / Math.pow(rank + 1, SKEW)));
  }

  private long totalWeight() {
    long total = 0;
    for (int rank = 0; rank < count; rank++) {
      total += weight(rank);
    }
    return total;
  }

  Optional<OrganisationId> largest() {
    return count == 0 ? Optional.empty() : Optional.of(idOf(0));
  }

  /** Draws the organisation of a job. */
  Optional<OrganisationId> draw(Random random) {
    if (count == 0) {
      return Optional.empty();
    }
    long drawn = (long) (random.nextDouble() * totalWeight());
    int rank = 0;
    while (rank < count - 1 && drawn >= weight(rank)) {
      drawn -= weight(rank);
      rank++;
    }
    return Optional.of(idOf(rank));
  }

  /** Returns by which share of the whole usual load the largest organisation exceeds its own. */
  double surgeShareAt(double second) {
    boolean surging = second >= SURGE_FROM_SECOND && second < SURGE_UNTIL_SECOND;
    return count > 0 && surging ? (surgeFactor - 1) * weight(0) / totalWeight() : 0;
  }
}
