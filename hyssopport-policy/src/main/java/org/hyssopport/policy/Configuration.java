package org.hyssopport.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The policy of a whole cell: its teams, its work classes and its limits.
 *
 * <p>A policy program builds one and prints it:
 *
 * <pre>{@code
 * Configuration.named("ardennes")
 *     .with(Team.named("booking", Resources.of(64, 65536, 0)))
 *     .with(WorkClass.service("availability", "booking"))
 *     .print(System.out);
 * }</pre>
 *
 * @param formatVersion the version of the printed form
 * @param name the name of the cell
 * @param teams all teams
 * @param classes all classes of work
 * @param limits limits on requests and jobs
 * @since 0.1
 * @see ConfigurationReader
 */
public record Configuration(
    long formatVersion, String name, List<Team> teams, List<WorkClass> classes, Limits limits) {

  /** The newest printed form that this library reads. */
  public static final long FORMAT_VERSION = 1;

  /** Copies the lists so that a configuration never changes. */
  public Configuration {
    teams = List.copyOf(teams);
    classes = List.copyOf(classes);
  }

  /** Returns an empty configuration with standard limits. */
  public static Configuration named(String name) {
    return new Configuration(FORMAT_VERSION, name, List.of(), List.of(), Limits.standard());
  }

  /** Returns this configuration with one more team. */
  public Configuration with(Team team) {
    return new Configuration(formatVersion, name, copyWith(teams, team), classes, limits);
  }

  /** Returns this configuration with one more class of work. */
  public Configuration with(WorkClass workClass) {
    return new Configuration(formatVersion, name, teams, copyWith(classes, workClass), limits);
  }

  /** Returns this configuration with other limits. */
  public Configuration with(Limits newLimits) {
    return new Configuration(formatVersion, name, teams, classes, newLimits);
  }

  /** Returns the class of work with the given name. */
  public Optional<WorkClass> classNamed(String className) {
    return classes.stream().filter(workClass -> workClass.name().equals(className)).findFirst();
  }

  /** Returns the team with the given name. */
  public Optional<Team> teamNamed(String teamName) {
    return teams.stream().filter(team -> team.name().equals(teamName)).findFirst();
  }

  /** Returns the printed form of this configuration. */
  public String toJson() {
    try {
      return Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("configuration " + name + " can't be printed", e);
    }
  }

  /** Prints this configuration as JSON. */
  public void print(PrintStream out) {
    out.println(toJson());
  }

  private static <T> List<T> copyWith(List<T> list, T element) {
    List<T> copy = new ArrayList<>(list);
    copy.add(element);
    return copy;
  }
}
