package org.hyssopport.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a configuration that changes when it is printed and read again, and against a
 * fault that hides others or does not state its place.
 */
class ConfigurationReaderTests {

  @Test
  void printedConfigurationIsReadBackUnchanged() {
    Configuration printed = validConfiguration();
    assertEquals(printed, ConfigurationReader.read(printed.toJson()).get());
  }

  @Nested
  class WhenThereAreFaults {

    @Test
    void allFaultsAreReportedTogetherWithTheirPlaces() {
      String text =
          validConfiguration()
              .toJson()
              .replace("\"kind\" : \"BATCH\"", "\"kind\" : \"PARCEL\"")
              .replace("\"PT1.5S\"", "\"soon\"")
              .replace("\"team\" : \"planning\"", "\"team\" : \"nobody\"");
      List<Finding> findings = ConfigurationReader.read(text).getLeft();
      List<String> places = findings.stream().map(Finding::place).toList();
      assertTrue(
          places.containsAll(List.of("classes[0].patience", "classes[1].kind", "classes[1].team")),
          places::toString);
    }

    @ParameterizedTest
    @CsvSource({
      "formatVersion, '{\"formatVersion\":2}'",
      "'line 1, column 2', '{nonsense'",
      "classes, '{\"formatVersion\":1,\"name\":\"a\",\"classes\":7}'",
      "nmae, '{\"formatVersion\":1,\"name\":\"a\",\"nmae\":\"b\"}'"
    })
    void faultNamesItsPlace(String place, String text) {
      List<Finding> findings = ConfigurationReader.read(text).getLeft();
      assertEquals(place, findings.get(0).place(), findings::toString);
    }

    @Test
    void messageNamesNewerAndSupportedFormat() {
      String text =
          validConfiguration().toJson().replace("\"formatVersion\" : 1", "\"formatVersion\" : 9");
      String message = ConfigurationReader.read(text).getLeft().get(0).message();
      assertTrue(message.contains("1") && message.contains("9"), message);
    }
  }

  private static Configuration validConfiguration() {
    return Configuration.named("firm")
        .with(Team.named("booking", Resources.of(10, 1024, 0)))
        .with(Team.named("planning", Resources.of(10, 1024, 0)))
        .with(WorkClass.service("check", "booking").patientFor(Duration.ofMillis(1500)))
        .with(WorkClass.batch("plan", "planning").attempting(5));
  }
}
