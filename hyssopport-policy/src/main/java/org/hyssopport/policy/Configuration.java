package org.hyssopport.policy;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The configuration that entry instances ({@code hyssopport serve}) use: the teams, work classes
 * and limits of a cell. Instances are immutable.
 *
 * <p>A policy program builds a configuration and prints it:
 *
 * <pre>{@code
 * Configuration.named("ardennes")
 *     .with(Team.named("booking", Resources.of(64, 65536, 0)))
 *     .with(WorkClass.service("availability", "booking"))
 *     .print(System.out);
 * }</pre>
 *
 * @param formatVersion the version of the JSON format
 * @param name the name of the cell
 * @param teams the teams
 * @param classes the work classes
 * @param limits the limits on requests and jobs
 * @since 0.1
 * @see ConfigurationReader
 */
public record Configuration(
    long formatVersion, String name, List<Team> teams, List<WorkClass> classes, Limits limits) {

  /** The version of the JSON format that this library writes, and the only one that it reads. */
  public static final long FORMAT_VERSION = 1;

  /** Copies the lists, so that the configuration is immutable. */
  public Configuration {
    teams = List.copyOf(teams);
    classes = List.copyOf(classes);
  }

  /**
   * Returns a configuration without teams and work classes, with the default limits.
   *
   * @param name the name of the cell
   * @return the configuration
   */
  public static Configuration named(String name) {
    return new Configuration(FORMAT_VERSION, name, List.of(), List.of(), Limits.standard());
  }

  /** Returns a copy of this configuration with one more team. */
  public Configuration with(Team team) {
    return new Configuration(formatVersion, name, copyWith(teams, team), classes, limits);
  }

  /** Returns a copy of this configuration with one more work class. */
  public Configuration with(WorkClass workClass) {
    return new Configuration(formatVersion, name, teams, copyWith(classes, workClass), limits);
  }

  /** Returns a copy of this configuration with the given limits. */
  public Configuration with(Limits newLimits) {
    return new Configuration(formatVersion, name, teams, classes, newLimits);
  }

  /** Returns the work class with the given name, or empty if there is none. */
  public Optional<WorkClass> classNamed(String className) {
    return classes.stream().filter(workClass -> workClass.name().equals(className)).findFirst();
  }

  /** Returns the team with the given name, or empty if there is none. */
  public Optional<Team> teamNamed(String teamName) {
    return teams.stream().filter(team -> team.name().equals(teamName)).findFirst();
  }

  /** Returns this configuration as indented JSON. */
  public String toJson() {
    try {
      return Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("configuration " + name + " can't be encoded as JSON", e);
    }
  }

  /** Prints this configuration as indented JSON. */
  public void print(PrintStream out) {
    out.println(toJson());
  }

  private static <T> List<T> copyWith(List<T> list, T element) {
    List<T> copy = new ArrayList<>(list);
    copy.add(element);
    return copy;
  }
}
