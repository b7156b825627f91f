package org.hyssopport.testkit.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssopport.engine.job.JournalEntry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays the peak load with an outage of the store, after which the entries of most workers are
 * missing from the live list, and reads what a scheduler finds that takes over.
 */
class OutageReplayTests {

  private static final PeakLoad.Size SIZE = PeakLoad.Size.TODAY;
  private static final long LOAD_SEED = 11;
  private static final int LOAD_SECONDS = 24;
  private static final Duration OUTAGE_BEGIN = Duration.ofSeconds(8);
  private static final Duration OUTAGE = Duration.ofSeconds(5);

  /** Two thirds of the workers. */
  private static final int EXPIRED_ENTRIES = 22;

  /** Workers that live enter themselves again within this time. */
  private static final Duration REENTRY_TIME = Duration.ofSeconds(2);

  private static Simulation simulationWithOutage(
      long seed, boolean knownAsLapsed, boolean killsScheduler) {
    Simulation simulation = SIZE.newSimulation(seed);
    simulation.after(OUTAGE_BEGIN, () -> simulation.journal().setDown(true));
    simulation.after(
        OUTAGE_BEGIN.plus(OUTAGE),
        () -> {
          simulation.journal().setDown(false);
          simulation.workers().expireEntries(EXPIRED_ENTRIES, REENTRY_TIME, knownAsLapsed);
          if (killsScheduler) {
            simulation.electScheduler();
          }
        });
    return simulation;
  }

  private static double earnedShare(long seed, boolean knownAsLapsed, boolean killsScheduler) {
    Simulation simulation = simulationWithOutage(seed, knownAsLapsed, killsScheduler);
    double share = PeakLoad.play(simulation, SIZE, LOAD_SEED, 1, LOAD_SECONDS).get("ALL");
    assertEquals(List.of(), simulation.findings());
    return share;
  }

  // The baseline takes workers for gone until they have entered themselves again.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callersAreServedBetterIfWorkersWhoseEntriesExpiredStayInUse(boolean killsScheduler) {
    double total = 0;
    double baseline = 0;
    for (long seed = 7; seed < 10; seed++) {
      total += earnedShare(seed, true, killsScheduler);
      baseline += earnedShare(seed, false, killsScheduler);
    }
    String shares = "earned " + total / 3 + ", baseline " + baseline / 3;
    assertTrue(total > baseline, shares);
  }

  // A scheduler that took over read the definitions of all jobs of the last two minutes.
  @Test
  void schedulersThatTakeOverReadFewDefinitionsOfEndedJobs() {
    Simulation simulation = SIZE.newSimulation(7);
    AtomicLong definitionsAtPeak = new AtomicLong();
    AtomicLong jobsAtPeak = new AtomicLong();
    simulation.after(
        Duration.ofSeconds(LOAD_SECONDS - 1),
        () -> {
          definitionsAtPeak.set(count(simulation, JournalEntry.Accepted.class));
          jobsAtPeak.set(count(simulation, JournalEntry.Progressed.class));
        });
    PeakLoad.play(simulation, SIZE, LOAD_SEED, 1, LOAD_SECONDS);
    assertTrue(
        definitionsAtPeak.get() < jobsAtPeak.get() / 2,
        () -> definitionsAtPeak + " definitions of " + jobsAtPeak + " jobs");
    assertEquals(
        simulation.unfinished().size(),
        count(simulation, JournalEntry.Accepted.class),
        () -> "unfinished: " + simulation.unfinished());
    assertTrue(count(simulation, JournalEntry.Progressed.class) > 0);
  }

  private static long count(Simulation simulation, Class<? extends JournalEntry> kind) {
    return simulation.journal().entries().stream().filter(kind::isInstance).count();
  }
}
