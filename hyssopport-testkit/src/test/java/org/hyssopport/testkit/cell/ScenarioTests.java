package org.hyssopport.testkit.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays each scripted scenario and checks its own expectations and all guarantees. */
class ScenarioTests {

  private static final String FILE = "/scenarios.yaml";

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void scenarioHolds(Scenario scenario) {
    ScenarioRun run = new ScenarioRun();
    for (Scenario.ScenarioStep step : scenario.steps()) {
      step.action().apply(run, step);
    }
    assertEquals(List.of(), run.finish());
  }

  static Stream<Scenario> scenarios() throws IOException {
    YAMLMapper mapper = new YAMLMapper();
    mapper.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    try (InputStream in = ScenarioTests.class.getResourceAsStream(FILE)) {
      return mapper.readValue(in, new TypeReference<List<Scenario>>() {}).stream();
    }
  }
}
