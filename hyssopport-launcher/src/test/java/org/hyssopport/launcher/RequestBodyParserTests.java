package org.hyssopport.launcher;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hyssopport.policy.Finding;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against findings that hide others or do not name the field at fault, and against examples
 * in the user guide that are rejected.
 */
class RequestBodyParserTests {

  private static final Instant NOW = Instant.ofEpochSecond(1000);
  private static final Pattern CURL = Pattern.compile("-d '([^']*)' http://HOST:PORT/(\\w+)");

  @ParameterizedTest
  @CsvSource({
    "service, '{}'",
    "body, '{\"service\":\"a\",\"body\":7}'",
    "deadline, '{\"service\":\"a\",\"deadline\":\"soon\"}'",
    "patience, '{\"service\":\"a\",\"patience\":\"soon\"}'",
    "patience, '{\"service\":\"a\",\"patience\":\"PT1S\",\"deadline\":5}'",
    "repeatable, '{\"service\":\"a\",\"repeatable\":1}'",
    "bodi, '{\"service\":\"a\",\"bodi\":\"x\"}'",
    "line 1, '{\"service\":'",
    "'', '[]'"
  })
  void findingNamesTheInvalidField(String place, String text) {
    List<Finding> findings = RequestBodyParser.serviceRequest(text, NOW).getLeft();
    assertEquals(place, findings.get(0).place(), findings::toString);
  }

  @Test
  void allFindingsOfOneJobAreReportedTogether() {
    String text = "{\"tasks\":0,\"payload\":4,\"resources\":{\"accelerators\":-1},\"x\":1}";
    List<String> places =
        RequestBodyParser.jobSubmission(text, NOW).getLeft().stream().map(Finding::place).toList();
    assertTrue(
        places.containsAll(List.of("tasks", "payload", "resources.accelerators", "x", "class")),
        places::toString);
  }

  @Test
  void everyExampleOfTheUserGuideIsAccepted() throws IOException {
    Path guide = Path.of(System.getProperty("root.directory"), "docs", "USER-GUIDE.md");
    Matcher examples = CURL.matcher(Files.readString(guide));
    int accepted = 0;
    while (examples.find()) {
      String text = examples.group(1);
      boolean valid =
          examples.group(2).equals("jobs")
              ? RequestBodyParser.jobSubmission(text, NOW).isRight()
              : RequestBodyParser.serviceRequest(text, NOW).isRight();
      assertTrue(valid, text);
      accepted++;
    }
    assertTrue(accepted >= 2, "examples in the guide: " + accepted);
  }
}
