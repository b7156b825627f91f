package org.hyssopport.testkit.oracle;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Everything that the oracle sees of one run of the system.
 *
 * @since 0.1
 * @see Oracle
 */
public final class History {

  private final List<ReportedOutcome> reportedOutcomes = new ArrayList<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<Capacity> capacities = new ArrayList<>();
  private final List<Departure> departures = new ArrayList<>();
  private final List<VersionInForce> versions = new ArrayList<>();

  private History() {}

  /** Returns a history without events. */
  public static History empty() {
    return new History();
  }

  /** Adds what a caller was told. */
  public void add(ReportedOutcome entry) {
    reportedOutcomes.add(entry);
  }

  /** Adds a run. */
  public void add(Run run) {
    runs.add(run);
  }

  /** Adds a worker. */
  public void add(Capacity capacity) {
    capacities.add(capacity);
  }

  /** Adds a worker's departure. */
  public void add(Departure departure) {
    departures.add(departure);
  }

  /** Adds a version that came into force. */
  public void add(VersionInForce version) {
    versions.add(version);
  }

  List<ReportedOutcome> reportedOutcomes() {
    return reportedOutcomes;
  }

  List<Run> runs() {
    return runs;
  }

  List<Capacity> capacities() {
    return capacities;
  }

  List<Departure> departures() {
    return departures;
  }

  List<VersionInForce> versions() {
    return versions;
  }

  /**
   * A worker that must get nothing new.
   *
   * @param worker the worker
   * @param lastStartAllowed no run may start later
   */
  public record Departure(String worker, Instant lastStartAllowed) {}

  /**
   * A version that came into force on an instance, in the order of the additions.
   *
   * @param incarnation the run of the instance
   * @param version the version
   */
  public record VersionInForce(String incarnation, long version) {}
}
