package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.util.List;
import org.hyssopport.engine.Answer;
import org.hyssopport.testkit.cell.CellCallers.Submission;
import org.hyssopport.testkit.oracle.History;

/** A simulated cell on which a scenario is played. */
final class ScenarioRun {

  private static final long SEED = 11;

  private final FuzzRun run = FuzzRun.create(SEED);
  private int submissionsBeforeMark;
  private long newestVersion;
  private int publications;

  FakeCell cell() {
    return run.cell();
  }

  CellCallers callers() {
    return run.callers();
  }

  void mark() {
    submissionsBeforeMark = callers().submissions().size();
  }

  List<Submission> submissionsSinceMark() {
    List<Submission> all = callers().submissions();
    return all.subList(submissionsBeforeMark, all.size());
  }

  void listWorkerAsLeaving(String worker) {
    run.listWorkerAsLeaving(worker);
  }

  void recordDeparture(String worker) {
    cell().history().add(new History.Departure(worker, cell().now().plus(FuzzRun.LEAVING_BOUND)));
  }

  long newestVersion() {
    return newestVersion;
  }

  void publish(String entry) {
    publications++;
    callers()
        .publish(entry, newestVersion, FuzzRun.configuration(publications), this::recordVersion);
  }

  void publishConcurrently(String first, String second) {
    long base = newestVersion;
    publications += 2;
    callers().publish(first, base, FuzzRun.configuration(publications), this::recordVersion);
    callers().publish(second, base, FuzzRun.configuration(publications + 1), this::recordVersion);
  }

  private void recordVersion(Answer answer) {
    if (answer instanceof Answer.ConfigurationAnswer accepted) {
      newestVersion = Math.max(newestVersion, accepted.version());
    }
  }

  List<String> finish() {
    return FinalCellCheck.run(cell(), callers(), Duration.ofMinutes(2));
  }
}
