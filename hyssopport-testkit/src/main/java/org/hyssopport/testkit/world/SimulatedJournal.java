package org.hyssopport.testkit.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hyssopport.engine.job.JournalEntry;

/**
 * The journal in the platform's store: the newest entry of each kind and job.
 *
 * @since 0.2
 */
public final class SimulatedJournal {

  private final Map<String, JournalEntry> newestEntries = new LinkedHashMap<>();
  private long newestTerm;
  private boolean down;
  private double lostAnswerShare;

  /** Makes the store unreachable, or reachable again. */
  public void setDown(boolean nowDown) {
    down = nowDown;
  }

  /** Makes so large a share of the appends done but not answered. */
  public void setLostAnswerShare(double share) {
    lostAnswerShare = share;
  }

  boolean isDown() {
    return down;
  }

  double lostAnswerShare() {
    return lostAnswerShare;
  }

  void fence(long term) {
    newestTerm = Math.max(newestTerm, term);
  }

  /** Tells whether a term is shut out; that comes before the answer to a repeated append. */
  boolean isFenced(long term) {
    return term < newestTerm;
  }

  /** Appends for a term; returns false if a newer term exists. */
  boolean append(long term, List<JournalEntry> entries) {
    if (term < newestTerm) {
      return false;
    }
    for (JournalEntry entry : entries) {
      if (entry instanceof JournalEntry.Forgotten) {
        newestEntries.keySet().removeIf(key -> key.endsWith(entry.job().text()));
      } else {
        newestEntries.put(entry.getClass().getSimpleName() + entry.job().text(), entry);
      }
    }
    return true;
  }

  List<JournalEntry> entries() {
    return new ArrayList<>(newestEntries.values());
  }
}
