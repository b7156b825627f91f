package org.hyssopport.testkit.standin;

import java.util.Set;

/**
 * The faults that a stand-in injects. The component names are the JSON keys of {@code /fault}.
 *
 * @param down whether the stand-in closes every connection without an answer
 * @param slowMillis the delay before it handles a call, in milliseconds
 * @param loseAnswers the number of the next POST calls that take effect but are not answered
 * @param lagMillis the age of the live list or worker report that it serves, in milliseconds
 * @param cutDomains the failure domains whose calls it doesn't answer
 * @param failsEverything whether every task that a worker starts fails at once
 * @param leaving whether a worker reports that it is leaving
 * @since 0.1
 */
public record FaultSwitches(
    boolean down,
    long slowMillis,
    int loseAnswers,
    long lagMillis,
    Set<String> cutDomains,
    boolean failsEverything,
    boolean leaving) {

  /** Replaces absent cut domains by an empty set. */
  public FaultSwitches {
    cutDomains = cutDomains == null ? Set.of() : Set.copyOf(cutDomains);
  }

  /** Returns no faults. */
  public static FaultSwitches none() {
    return new FaultSwitches(false, 0, 0, 0, Set.of(), false, false);
  }
}
