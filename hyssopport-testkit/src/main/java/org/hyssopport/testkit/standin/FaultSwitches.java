package org.hyssopport.testkit.standin;

import java.util.Set;

/**
 * The faults that a stand-in shows now.
 *
 * @param down whether it closes every connection without an answer
 * @param slowMillis how long it waits before it handles a call, in milliseconds
 * @param loseAnswers how many of the next calls take effect without an answer
 * @param lagMillis how old what it tells is, in milliseconds
 * @param cutDomains the failure domains that can't reach it
 * @param failsEverything whether a worker fails everything that it starts
 * @param leaving whether a worker is leaving
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

  /** Fills in what the sender left out. */
  public FaultSwitches {
    cutDomains = cutDomains == null ? Set.of() : Set.copyOf(cutDomains);
  }

  /** Returns no faults. */
  public static FaultSwitches none() {
    return new FaultSwitches(false, 0, 0, 0, Set.of(), false, false);
  }
}
