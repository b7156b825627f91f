package org.hyssopport.policy;

/**
 * A team and the resources that its work may hold at one time in the whole cell.
 *
 * @param name the team's name
 * @param quota the most that its batch and gang work may hold
 * @since 0.1
 */
public record Team(String name, Resources quota) {

  /** Returns a team with a quota. */
  public static Team named(String name, Resources quota) {
    return new Team(name, quota);
  }
}
