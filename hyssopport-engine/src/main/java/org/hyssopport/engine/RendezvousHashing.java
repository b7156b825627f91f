package org.hyssopport.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import net.openhft.hashing.LongHashFunction;

/**
 * Chooses among members by rendezvous hashing, so that all instances that see the same members make
 * the same choice.
 */
final class RendezvousHashing {

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private RendezvousHashing() {}

  /** Returns the members in order of preference for a key, the most preferred one first. */
  static List<String> order(String key, Collection<String> members) {
    List<String> ordered = new ArrayList<>(members);
    ordered.sort(
        Comparator.comparingLong((String member) -> HASH.hashChars(key + "|" + member))
            .thenComparing(Comparator.naturalOrder()));
    return ordered;
  }

  /** Returns the rank of a member in the order of preference for a key, from 0. */
  static int rank(String key, Collection<String> members, String member) {
    long own = HASH.hashChars(key + "|" + member);
    int rank = 0;
    for (String other : members) {
      if (!other.equals(member) && HASH.hashChars(key + "|" + other) < own) {
        rank++;
      }
    }
    return rank;
  }

  /**
   * Assigns every key to its most preferred member among those that have fewer keys than an even
   * share, rounded up.
   *
   * @return the member of each key; empty if there are no members
   */
  static Map<String, String> assignEvenly(Collection<String> keys, Collection<String> members) {
    Map<String, String> assignments = new HashMap<>();
    if (members.isEmpty()) {
      return assignments;
    }
    int maximumKeysPerMember = (keys.size() + members.size() - 1) / members.size();
    Map<String, Integer> load = new HashMap<>();
    for (String key : new TreeSet<>(keys)) {
      for (String member : order(key, members)) {
        if (load.merge(member, 0, Integer::sum) < maximumKeysPerMember) {
          load.merge(member, 1, Integer::sum);
          assignments.put(key, member);
          break;
        }
      }
    }
    return assignments;
  }
}
