package org.hyssopport.policy;

/**
 * A team, whose batch and gang tasks share a quota of the cell's resources.
 *
 * @param name the team's name
 * @param quota the maximum resources that the team's batch and gang tasks may hold at a time in the
 *     whole cell
 * @since 0.1
 */
public record Team(String name, Resources quota) {

  /** Returns a team with the given name and quota. */
  public static Team named(String name, Resources quota) {
    return new Team(name, quota);
  }
}
