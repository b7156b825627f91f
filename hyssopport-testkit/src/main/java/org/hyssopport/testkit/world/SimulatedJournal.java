package org.hyssopport.testkit.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.job.JournalEntry;

/**
 * The scheduler's journal in the platform's store, reduced to the newest entry of each kind and
 * job.
 *
 * @since 0.2
 */
public final class SimulatedJournal {

  private final Map<String, JournalEntry> newestEntries = new LinkedHashMap<>();
  private long newestTerm;
  private final List<AppendedEntry> log = new ArrayList<>();
  private boolean down;
  private boolean failingReads;
  private boolean refusingTerms;
  private int interruptions;
  private double lostAnswerShare;

  /** An entry and the term that appended it, empty if a member did without a scheduler. */
  private record AppendedEntry(Optional<Long> term, JournalEntry entry) {}

  /** Makes the store unavailable, or available again. */
  public void setDown(boolean nowDown) {
    down = nowDown;
    countInterruption(nowDown);
  }

  /** Sets the share of appends that take effect but whose answer is lost. */
  public void setLostAnswerShare(double share) {
    lostAnswerShare = share;
  }

  /** Makes reads fail, or succeed again; appends are not affected. */
  public void setFailingReads(boolean nowFailing) {
    failingReads = nowFailing;
    countInterruption(nowFailing);
  }

  /** Makes the appends of schedulers be refused, or succeed again; members are not affected. */
  public void setRefusingTerms(boolean nowRefusing) {
    refusingTerms = nowRefusing;
  }

  private void countInterruption(boolean begins) {
    if (begins) {
      interruptions++;
    }
  }

  /** Returns how often the journal has become unreadable so far. */
  int interruptions() {
    return interruptions;
  }

  boolean isRefusingTerms() {
    return refusingTerms;
  }

  boolean isDown() {
    return down;
  }

  /** Returns whether the journal can be read. */
  boolean isReadable() {
    return !down && !failingReads;
  }

  double lostAnswerShare() {
    return lostAnswerShare;
  }

  void fence(long term) {
    newestTerm = Math.max(newestTerm, term);
  }

  /**
   * Returns whether a newer term exists. This is checked before a repeated append is confirmed,
   * even if the first attempt was stored.
   */
  boolean isFenced(long term) {
    return term < newestTerm;
  }

  /** Appends the entries of a term; returns false and stores nothing if a newer term exists. */
  boolean append(long term, List<JournalEntry> entries) {
    if (term < newestTerm) {
      return false;
    }
    for (JournalEntry entry : entries) {
      log.add(new AppendedEntry(Optional.of(term), entry));
      if (entry instanceof JournalEntry.Archived || entry instanceof JournalEntry.Forgotten) {
        newestEntries.remove(key(JournalEntry.Accepted.class, entry));
        newestEntries.remove(key(JournalEntry.Cancelled.class, entry));
        if (entry instanceof JournalEntry.Forgotten) {
          newestEntries.remove(key(JournalEntry.Progressed.class, entry));
        }
      } else if (entry instanceof JournalEntry.CancellationExpired) {
        newestEntries.remove(key(JournalEntry.Cancelled.class, entry));
      } else {
        newestEntries.put(key(entry.getClass(), entry), entry);
      }
    }
    return true;
  }

  private static String key(Class<? extends JournalEntry> kind, JournalEntry entry) {
    return kind.getSimpleName() + entry.job().text();
  }

  /** Appends an entry of a member that does not lead, which no term fences. */
  void appendWithoutTerm(JournalEntry entry) {
    newestEntries.put(key(entry.getClass(), entry), entry);
    log.add(new AppendedEntry(Optional.empty(), entry));
  }

  /** Returns the number of entries that were appended so far. */
  int endOffset() {
    return log.size();
  }

  /** Returns the entries from an offset that another term or no term appended, in order. */
  List<JournalEntry> entriesOfOthers(long term, int fromOffset) {
    return log.subList(fromOffset, log.size()).stream()
        .filter(appended -> appended.term().filter(other -> other == term).isEmpty())
        .map(AppendedEntry::entry)
        .toList();
  }

  List<JournalEntry> entries() {
    return new ArrayList<>(newestEntries.values());
  }
}
