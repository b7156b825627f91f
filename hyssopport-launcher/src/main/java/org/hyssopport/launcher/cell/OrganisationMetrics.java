package org.hyssopport.launcher.cell;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.hyssopport.engine.quota.OrganisationUsage;
import org.hyssopport.launcher.MetricRegistry;

/** Shows what each organisation uses, may use and is due; stated by the scheduler only. */
final class OrganisationMetrics {

  private static final double MILLI = 1000;

  private OrganisationMetrics() {}

  static void register(MetricRegistry registry, Supplier<List<OrganisationUsage>> usage) {
    registry.gaugeByLabels(
        "hyssopport_cell_organisation_processors",
        "Processors that an organisation has running (used) and may have running (limit).",
        List.of("organisation", "kind"),
        () -> processors(usage.get()));
    registry.gaugeByLabels(
        "hyssopport_cell_organisation_share",
        "Part of the room that an organisation is due when the cell is full, from 0 to 1.",
        List.of("organisation"),
        () -> shares(usage.get()));
  }

  private static Map<List<String>, Double> processors(List<OrganisationUsage> usage) {
    Map<List<String>, Double> values = new HashMap<>();
    for (OrganisationUsage each : usage) {
      String name = each.organisation().name();
      values.put(List.of(name, "used"), each.used().milliProcessors() / MILLI);
      // A limit of 0 is none, and would read as if nothing were allowed.
      each.limit()
          .filter(limit -> limit.milliProcessors() > 0)
          .ifPresent(limit -> values.put(List.of(name, "limit"), limit.milliProcessors() / MILLI));
    }
    return values;
  }

  private static Map<List<String>, Double> shares(List<OrganisationUsage> usage) {
    Map<List<String>, Double> values = new HashMap<>();
    usage.forEach(each -> values.put(List.of(each.organisation().name()), each.share()));
    return values;
  }
}
