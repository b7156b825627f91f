package org.hyssopport.testkit.oracle;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * What was observed while the system ran: the outcomes reported to callers, the runs on workers,
 * and what else the oracle needs to check them.
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

  /** Returns an empty history. */
  public static History empty() {
    return new History();
  }

  /** Adds an outcome that was reported to a caller. */
  public void add(ReportedOutcome outcome) {
    reportedOutcomes.add(outcome);
  }

  /** Adds a run on a worker. */
  public void add(Run run) {
    runs.add(run);
  }

  /** Adds the capacity of a worker. */
  public void add(Capacity capacity) {
    capacities.add(capacity);
  }

  /** Adds the departure of a worker. */
  public void add(Departure departure) {
    departures.add(departure);
  }

  /** Adds a configuration version that came into force on an instance. */
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
   * A worker that was leaving and must start no new runs.
   *
   * @param worker the worker's name
   * @param lastStartAllowed the latest instant at which a run may start
   */
  public record Departure(String worker, Instant lastStartAllowed) {}

  /**
   * A configuration version that came into force on an instance. Versions are checked in the order
   * in which they were added.
   *
   * @param incarnation the text of an instance's name and incarnation
   * @param version the configuration version
   */
  public record VersionInForce(String incarnation, long version) {}
}
