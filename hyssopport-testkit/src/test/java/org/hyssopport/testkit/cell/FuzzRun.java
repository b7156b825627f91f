package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.engine.Event;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.Team;
import org.hyssopport.policy.WorkClass;
import org.hyssopport.testkit.cell.FakeCell.CellShape;
import org.hyssopport.testkit.oracle.History;

/** A simulated cell with its callers, on which the steps of stateful fuzzing act. */
final class FuzzRun {

  static final Duration RECOVERY_BOUND = Duration.ofSeconds(150);
  static final Duration LEAVING_BOUND = Duration.ofSeconds(5);

  private final FakeCell cell;
  private final CellCallers callers;

  private FuzzRun(FakeCell cell) {
    this.cell = cell;
    this.callers = CellCallers.of(cell);
  }

  static FuzzRun create(long seed) {
    EngineSettings settings =
        EngineSettings.standard()
            .withDurations(Duration.ofSeconds(20), Duration.ofSeconds(5), Duration.ofSeconds(600));
    CellShape shape =
        new CellShape(
            List.of("north", "south"),
            2,
            3,
            Resources.of(4, 8192, 1),
            4,
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            settings);
    FuzzRun run = new FuzzRun(FakeCell.create(shape, seed));
    run.cell.advance(Duration.ofSeconds(4));
    run.callers.publish("north-e1", -1, configuration(0), answer -> {});
    run.cell.advance(Duration.ofSeconds(4));
    return run;
  }

  static Configuration configuration(int number) {
    return Configuration.named("cell-" + number)
        .with(Team.named("team", Resources.of(400, 800_000, 100)))
        .with(WorkClass.service("check", "team").running(Duration.ofMillis(60)))
        .with(WorkClass.service("deposit", "team").running(Duration.ofMillis(60)))
        .with(WorkClass.batch("plan", "team").holding(Resources.of(1, 1024, 0)))
        .with(WorkClass.gang("joint", "team").holding(Resources.of(2, 2048, 0)).attempting(5));
  }

  FakeCell cell() {
    return cell;
  }

  CellCallers callers() {
    return callers;
  }

  String entry(int number) {
    List<String> names = cell.entryNames();
    return names.get(Math.floorMod(number, names.size()));
  }

  String worker(int number) {
    List<String> names = cell.workerNames();
    return names.get(Math.floorMod(number, names.size()));
  }

  List<String> entries(int number, int count) {
    List<String> chosen = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      chosen.add(entry(number + index));
    }
    return chosen;
  }

  /** Publishes two changes of the same configuration version at the same time. */
  void publishConcurrently(int number) {
    cell.call(
        entry(number),
        Event.ConfigurationQueried::new,
        answer -> {
          if (answer instanceof Answer.ConfigurationAnswer current) {
            for (int operator = 0; operator < 2; operator++) {
              Configuration change = configuration(number * 2 + operator);
              callers.publish(entry(number + operator), current.version(), change, ignored -> {});
            }
          }
        });
  }

  /** Lists a worker as leaving; starting work on it after {@link #LEAVING_BOUND} is a finding. */
  void listWorkerAsLeaving(String worker) {
    cell.listWorkerAsLeaving(worker);
    cell.history().add(new History.Departure(worker, cell.now().plus(LEAVING_BOUND)));
  }

  List<String> finish() {
    return FinalCellCheck.run(cell, callers, RECOVERY_BOUND);
  }
}
