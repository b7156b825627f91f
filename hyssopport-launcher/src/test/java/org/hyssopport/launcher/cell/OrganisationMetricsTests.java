package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.engine.quota.OrganisationUsage;
import org.hyssopport.launcher.MetricRegistry;
import org.hyssopport.policy.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OrganisationMetricsTests {

  @ParameterizedTest
  @CsvSource({
    "'hyssopport_cell_organisation_processors{kind=\"used\",organisation=\"a\"} 2.5', true",
    "'hyssopport_cell_organisation_processors{kind=\"limit\",organisation=\"a\"} 4.0', true",
    "'hyssopport_cell_organisation_share{organisation=\"a\"} 0.25', true",
    "'kind=\"limit\",organisation=\"b\"', false"
  })
  void showUsageLimitAndShare(String line, boolean expected) {
    MetricRegistry registry = MetricRegistry.create();
    OrganisationUsage limited =
        new OrganisationUsage(
            new OrganisationId("a"),
            new Resources(2500, 100, 0),
            Optional.of(new ResourceLimit(4000, 0, 0)),
            0.25);
    OrganisationUsage unlimited =
        new OrganisationUsage(
            new OrganisationId("b"), Resources.NONE, Optional.of(ResourceLimit.NONE), 0.75);
    OrganisationMetrics.register(registry, () -> List.of(limited, unlimited));
    String text = new String(registry.text(), StandardCharsets.UTF_8);
    assertEquals(expected, text.contains(line));
  }
}
