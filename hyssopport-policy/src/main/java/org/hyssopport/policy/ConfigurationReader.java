package org.hyssopport.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Parses and validates a configuration in JSON.
 *
 * <p>All faults of the content are reported together, so that they can be corrected at once. If the
 * text is not JSON or has another format version, only that is reported.
 *
 * @since 0.1
 * @see Configuration#print
 */
public final class ConfigurationReader {

  private static final int MAXIMUM_NAME_LENGTH = 60;
  private static final long MAXIMUM_ATTEMPTS = 100;
  private static final long MAXIMUM_BODY_BYTES = 16L * 1024 * 1024;
  private static final long MAXIMUM_TASKS_PER_JOB = 10_000;

  private ConfigurationReader() {}

  /**
   * Parses and validates a configuration.
   *
   * @param text the configuration in JSON
   * @return the configuration, or its faults with their places
   */
  public static Either<List<Finding>, Configuration> read(String text) {
    List<Finding> findings = new ArrayList<>();
    JsonNode root;
    try {
      root = Json.mapper().readTree(text);
    } catch (JsonProcessingException e) {
      return Either.left(List.of(new Finding(positionOf(e), "is not JSON: " + firstLine(e))));
    }
    FieldReader reader = FieldReader.of(root, findings);
    long format = reader.number("formatVersion", 0, 0, Long.MAX_VALUE);
    if (format != Configuration.FORMAT_VERSION) {
      String supported = "this program reads format " + Configuration.FORMAT_VERSION;
      reader.report("formatVersion", supported + ", but the configuration has format " + format);
      return Either.left(findings);
    }
    Configuration configuration = readBody(reader);
    findings.addAll(check(configuration));
    return findings.isEmpty() ? Either.right(configuration) : Either.left(findings);
  }

  /**
   * Validates the content of a configuration.
   *
   * @param configuration the configuration
   * @return all faults with their places; empty if the configuration is valid
   */
  public static List<Finding> check(Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    Set<String> teamNames = new HashSet<>();
    for (int index = 0; index < configuration.teams().size(); index++) {
      checkTeam(configuration.teams().get(index), "teams[" + index + "]", teamNames, findings);
    }
    Set<String> classNames = new HashSet<>();
    for (int index = 0; index < configuration.classes().size(); index++) {
      WorkClass workClass = configuration.classes().get(index);
      String place = "classes[" + index + "]";
      checkName(workClass.name(), place, classNames, findings);
      checkClass(workClass, place, configuration, findings);
    }
    return findings;
  }

  private static Configuration readBody(FieldReader reader) {
    reader.reportUnknownFields(Set.of("formatVersion", "name", "teams", "classes", "limits"));
    return new Configuration(
        Configuration.FORMAT_VERSION,
        reader.text("name"),
        reader.list("teams", ConfigurationReader::readTeam),
        reader.list("classes", ConfigurationReader::readClass),
        reader.has("limits") ? readLimits(reader.object("limits")) : Limits.standard());
  }

  private static Team readTeam(FieldReader reader) {
    reader.reportUnknownFields(Set.of("name", "quota"));
    return new Team(reader.text("name"), reader.resources("quota", Resources.NONE));
  }

  private static WorkClass readClass(FieldReader reader) {
    reader.reportUnknownFields(
        Set.of(
            "name", "kind", "team", "resources", "patience", "expectedRunTime", "maximumAttempts"));
    WorkKind kind = reader.enumConstant("kind", WorkKind.class, WorkKind.BATCH);
    WorkClass defaults =
        switch (kind) {
          case SERVICE -> WorkClass.service(reader.text("name"), reader.text("team"));
          case BATCH -> WorkClass.batch(reader.text("name"), reader.text("team"));
          case GANG -> WorkClass.gang(reader.text("name"), reader.text("team"));
        };
    return defaults
        .holding(reader.resources("resources", defaults.resources()))
        .patientFor(reader.duration("patience", defaults.patience()))
        .running(reader.duration("expectedRunTime", defaults.expectedRunTime()))
        .attempting(
            reader.number("maximumAttempts", defaults.maximumAttempts(), 1, MAXIMUM_ATTEMPTS));
  }

  private static Limits readLimits(FieldReader reader) {
    Limits defaults = Limits.standard();
    reader.reportUnknownFields(Set.of("maximumBodyBytes", "maximumTasksPerJob", "maximumTask"));
    return new Limits(
        reader.number("maximumBodyBytes", defaults.maximumBodyBytes(), 1, MAXIMUM_BODY_BYTES),
        reader.number(
            "maximumTasksPerJob", defaults.maximumTasksPerJob(), 1, MAXIMUM_TASKS_PER_JOB),
        reader.resources("maximumTask", defaults.maximumTask()));
  }

  private static void checkTeam(
      Team team, String place, Set<String> seenNames, List<Finding> findings) {
    checkName(team.name(), place, seenNames, findings);
    if (team.quota().equals(Resources.NONE)) {
      findings.add(new Finding(place + ".quota", "is zero, so the team could run nothing"));
    }
  }

  private static void checkClass(
      WorkClass workClass, String place, Configuration configuration, List<Finding> findings) {
    if (configuration.teamNamed(workClass.team()).isEmpty()) {
      findings.add(new Finding(place + ".team", "names no known team: " + workClass.team()));
    }
    if (!workClass.resources().fitsIn(configuration.limits().maximumTask())) {
      String limit = "is over limits.maximumTask: " + workClass.resources();
      findings.add(new Finding(place + ".resources", limit));
    }
    if (workClass.resources().milliProcessors() == 0) {
      findings.add(new Finding(place + ".resources", "holds no processor time"));
    }
  }

  private static void checkName(
      String name, String place, Set<String> seenNames, List<Finding> findings) {
    if (name.length() > MAXIMUM_NAME_LENGTH || !name.matches("[a-z0-9][a-z0-9-]*")) {
      String rule = "must be at most 60 of a-z, 0-9 and -, but is " + name;
      findings.add(new Finding(place + ".name", rule));
    }
    if (!seenNames.add(name)) {
      findings.add(new Finding(place + ".name", "is used twice: " + name));
    }
  }

  private static String positionOf(JsonProcessingException fault) {
    return fault.getLocation() == null
        ? ""
        : "line "
            + fault.getLocation().getLineNr()
            + ", column "
            + fault.getLocation().getColumnNr();
  }

  private static String firstLine(JsonProcessingException fault) {
    return fault.getOriginalMessage().lines().findFirst().orElse("unreadable");
  }
}
