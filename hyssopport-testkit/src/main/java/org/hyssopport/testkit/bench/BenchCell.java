package org.hyssopport.testkit.bench;

import java.time.Duration;
import java.util.List;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.engine.Policies;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.Team;
import org.hyssopport.policy.WorkClass;
import org.hyssopport.testkit.cell.CellCallers;
import org.hyssopport.testkit.cell.FakeCell;

/** Creates the simulated cells that the policy experiments run on. */
final class BenchCell {

  static final String DOMAIN = "ourthe";
  static final int SLOTS = 8;

  private static final Duration SETTLING_TIME = Duration.ofSeconds(5);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

  private BenchCell() {}

  /**
   * Returns a cell of one failure domain with the default worker size. Its workers are leased and
   * the benchmark configuration is in force.
   */
  static FakeCell start(int entries, int workers, Policies policies, long seed) {
    return start(entries, workers, SLOTS, Resources.of(64, 256 * 1024, 8), policies, seed);
  }

  static FakeCell start(
      int entries, int workers, int slots, Resources capacity, Policies policies, long seed) {
    EngineSettings settings =
        EngineSettings.standard()
            .withPolicies(policies)
            .withDurations(Duration.ofMinutes(2), Duration.ofSeconds(10), Duration.ofHours(6));
    FakeCell.CellShape shape =
        new FakeCell.CellShape(
            List.of(DOMAIN),
            entries,
            workers,
            capacity,
            slots,
            Duration.ofMillis(500),
            TICK_INTERVAL,
            settings);
    FakeCell cell = FakeCell.create(shape, seed);
    cell.advance(SETTLING_TIME);
    CellCallers.of(cell).publish(DOMAIN + "-e1", -1, configuration(), answer -> {});
    cell.advance(SETTLING_TIME);
    return cell;
  }

  private static Configuration configuration() {
    Resources everything = Resources.of(1_000_000, 1_000_000_000L, 1_000_000);
    return Configuration.named("bench")
        .with(Team.named("team", everything))
        .with(
            WorkClass.service("short", "team")
                .holding(Resources.of(1, 512, 0))
                .running(Duration.ofMillis(300)))
        .with(
            WorkClass.service("long", "team")
                .holding(Resources.of(1, 512, 0))
                .running(Duration.ofMillis(200)))
        .with(WorkClass.batch("plan", "team").holding(Resources.of(1, 512, 0)))
        .with(WorkClass.gang("joint", "team").holding(Resources.of(1, 512, 0)));
  }
}
