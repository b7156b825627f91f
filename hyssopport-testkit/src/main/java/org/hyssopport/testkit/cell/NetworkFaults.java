package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The faults injected into a fake cell's network, workers, log and live list.
 *
 * @since 0.1
 */
public final class NetworkFaults {

  private final Set<String> cutPairs = new HashSet<>();
  private final Set<String> cutFromPlatform = new HashSet<>();
  private final Set<String> downWorkers = new HashSet<>();
  private final Map<String, Integer> answersToLose = new HashMap<>();
  private boolean logDown;
  private boolean logLosesAnswers;
  private boolean listDown;
  private Duration logDelay = Duration.ZERO;
  private Duration readLag = Duration.ZERO;
  private double duplicatedShare;
  private double misdeliveredShare;
  private double lostShare;

  NetworkFaults() {}

  /** Cuts the network between two failure domains. */
  public void cut(String first, String second) {
    cutPairs.add(pair(first, second));
  }

  /** Cuts a failure domain off from the log and the live list. */
  public void cutFromPlatform(String domain) {
    cutFromPlatform.add(domain);
  }

  /** Makes a worker unreachable, or reachable again. */
  public void setWorkerDown(String worker, boolean down) {
    if (down) {
      downWorkers.add(worker);
    } else {
      downWorkers.remove(worker);
    }
  }

  /** Loses the replies of the next calls to a worker, after the calls took effect. */
  public void loseAnswers(String worker, int count) {
    answersToLose.put(worker, count);
  }

  /** Makes the log unavailable, or available again. */
  public void setLogDown(boolean down) {
    logDown = down;
  }

  /** Sets whether the log loses the answers to appends that took effect. */
  public void setLogLosesAnswers(boolean loses) {
    logLosesAnswers = loses;
  }

  /** Makes the live list unreachable, or reachable again. */
  public void setListDown(boolean down) {
    listDown = down;
  }

  /** Sets how long every append to the log is delayed; reads are not delayed. */
  public void setLogDelay(Duration delay) {
    logDelay = delay;
  }

  /** Makes reads of the log omit the records that are younger than the given lag. */
  public void setReadLag(Duration lag) {
    readLag = lag;
  }

  /**
   * Sets the shares of calls and messages that are duplicated, misdelivered or lost.
   *
   * @param duplicated the share of worker calls, appends and peer messages that arrive twice
   * @param misdelivered the share of worker replies about an attempt that are replaced by the
   *     preceding such reply, which may be that of another call
   * @param lost the share of peer messages that are lost; for worker calls, half of this share of
   *     the calls and half of this share of the replies are lost
   */
  public void setShares(double duplicated, double misdelivered, double lost) {
    duplicatedShare = duplicated;
    misdeliveredShare = misdelivered;
    lostShare = lost;
  }

  /** Removes every fault. */
  public void heal() {
    cutPairs.clear();
    cutFromPlatform.clear();
    downWorkers.clear();
    answersToLose.clear();
    logDown = false;
    logLosesAnswers = false;
    listDown = false;
    logDelay = Duration.ZERO;
    readLag = Duration.ZERO;
    setShares(0, 0, 0);
  }

  boolean reaches(String from, String to) {
    return from.equals(to) || !cutPairs.contains(pair(from, to));
  }

  boolean reachesLog(String domain) {
    return !logDown && !cutFromPlatform.contains(domain);
  }

  boolean reachesList(String domain) {
    return !listDown && !cutFromPlatform.contains(domain);
  }

  boolean isDown(String worker) {
    return downWorkers.contains(worker);
  }

  boolean consumeLostAnswer(String worker) {
    int left = answersToLose.getOrDefault(worker, 0);
    answersToLose.put(worker, Math.max(0, left - 1));
    return left > 0;
  }

  boolean logLosesAnswers() {
    return logLosesAnswers;
  }

  Duration logDelay() {
    return logDelay;
  }

  Duration readLag() {
    return readLag;
  }

  double duplicatedShare() {
    return duplicatedShare;
  }

  double misdeliveredShare() {
    return misdeliveredShare;
  }

  double lostShare() {
    return lostShare;
  }

  private static String pair(String first, String second) {
    return first.compareTo(second) < 0 ? first + "|" + second : second + "|" + first;
  }
}
