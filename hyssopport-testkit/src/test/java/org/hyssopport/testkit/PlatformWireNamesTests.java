package org.hyssopport.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that names from the platform's wire protocol appear in its adapter only, and in the test
 * kit, whose stand-ins speak the same protocol.
 */
class PlatformWireNamesTests {

  private static final Path ROOT = Path.of(System.getProperty("root.directory"));

  @ParameterizedTest
  @ValueSource(
      strings = {
        "\"ackedUpto",
        "\"untilMs",
        "\"checkpointToken",
        "\"coldLeftMs",
        "\"sloMs",
        "\"memMb",
        "\"estMs",
        "\"maxPerServer",
        "/api/log-",
        "/api/run-",
        "/api/hold",
        "/api/advise",
        "Hyssopport-Deadline",
        "Hyssopport-Expect"
      })
  void appearsInAdapterOnly(String name) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT)) {
      List<String> found =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .map(ROOT::relativize)
              .filter(file -> file.toString().contains("src/main/"))
              .filter(
                  file -> !file.startsWith("platform") && !file.startsWith("hyssopport-testkit"))
              .filter(file -> contains(ROOT.resolve(file), name))
              .map(Path::toString)
              .toList();
      assertEquals(List.of(), found);
    }
  }

  private static boolean contains(Path file, String name) {
    try {
      return Files.readString(file).contains(name);
    } catch (IOException e) {
      throw new IllegalStateException("can't read " + file, e);
    }
  }
}
