package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.StatusView;
import org.hyssopport.engine.StatusView.WorkerLine;
import org.hyssopport.engine.platform.EntryId;
import org.hyssopport.testkit.oracle.Capacity;
import org.hyssopport.testkit.oracle.Oracle;
import org.hyssopport.testkit.oracle.Run;
import org.hyssopport.testkit.standin.RunRecord;
import org.hyssopport.testkit.standin.WorkerModel;

/**
 * The check at the end of a test on a fake cell: removes the faults, waits for the cell to recover,
 * and checks safety with the {@link Oracle} and liveness.
 *
 * @since 0.1
 */
public final class FinalCellCheck {

  private static final Duration DRAIN_BOUND = Duration.ofSeconds(40);
  private static final Instant NOT_ENDED = Instant.parse("9999-01-01T00:00:00Z");

  private final FakeCell cell;
  private final CellCallers callers;
  private final List<String> findings = new ArrayList<>();

  private FinalCellCheck(FakeCell cell, CellCallers callers) {
    this.cell = cell;
    this.callers = callers;
  }

  /**
   * Removes the faults, waits until draining instances must have finished and the recovery time is
   * over, and checks the cell.
   *
   * @param cell the cell to check
   * @param callers the callers whose answers are checked
   * @param recovery the time within which all accepted work must have ended
   * @return all findings; empty if the cell meets its guarantees
   */
  public static List<String> run(FakeCell cell, CellCallers callers, Duration recovery) {
    FinalCellCheck check = new FinalCellCheck(cell, callers);
    check.heal();
    cell.advance(DRAIN_BOUND);
    check.restartDrained();
    cell.advance(recovery);
    check.checkSafety();
    check.checkLiveness();
    return check.findings;
  }

  private void heal() {
    cell.faults().heal();
    for (String entry : cell.entryNames()) {
      cell.thawEntry(entry);
      cell.startEntry(entry);
    }
    for (String worker : cell.workerNames()) {
      cell.worker(worker).setFailsEverything(false);
    }
  }

  private void restartDrained() {
    for (String entry : cell.entryNames()) {
      if (cell.isDraining(entry)) {
        findings.add(entry + " did not drain within the time allowed; killing it");
        cell.killEntry(entry);
      }
      cell.startEntry(entry);
    }
  }

  private void checkSafety() {
    for (String entry : cell.entryNames()) {
      callers.refreshJobs(entry);
    }
    cell.advance(Duration.ofSeconds(1));
    callers.addOutcomesToHistory();
    for (String name : cell.workerNames()) {
      WorkerModel worker = cell.worker(name);
      worker.advance(cell.now());
      worker.runRecords().forEach(record -> cell.history().add(runOf(record)));
      var capacity = cell.shape().workerCapacity();
      cell.history()
          .add(
              new Capacity(
                  name,
                  capacity.milliProcessors(),
                  capacity.memoryMebibytes(),
                  capacity.accelerators(),
                  cell.shape().slots()));
    }
    findings.addAll(Oracle.check(cell.history()));
  }

  private static Run runOf(RunRecord record) {
    boolean done = record.result().map(result -> result.name().equals("DONE")).orElse(false);
    return new Run(
        record.worker(),
        record.task(),
        record.payload(),
        record.startedAt(),
        record.endedAt().orElse(NOT_ENDED),
        record.resources().milliProcessors(),
        record.resources().memoryMebibytes(),
        record.resources().accelerators(),
        done);
  }

  private void checkLiveness() {
    callers.unanswered().forEach(each -> findings.add("no answer for " + each));
    callers.unfinishedJobs().forEach(each -> findings.add("job has not ended: " + each));
    if (cell.callersCutByDrains() > 0) {
      findings.add("graceful shutdowns cut off " + cell.callersCutByDrains() + " callers");
    }
    for (String name : cell.workerNames()) {
      Optional<EntryId> holder = cell.worker(name).holder(cell.now());
      if (holder.isEmpty()) {
        findings.add("worker " + name + " has no lease holder");
      }
    }
    for (String entry : cell.entryNames()) {
      cell.call(entry, Event.StatusQueried::new, this::checkStatus);
    }
  }

  private void checkStatus(Answer answer) {
    if (!(answer instanceof Answer.StatusAnswer received)) {
      findings.add("status query got another answer: " + answer);
      return;
    }
    StatusView status = received.view();
    for (WorkerLine worker : status.workers()) {
      if (worker.state().equals("ACTIVE") && worker.usedSlots() > 0) {
        findings.add(
            status.instance()
                + " still counts "
                + worker.usedSlots()
                + " slots in use on "
                + worker.name());
      }
    }
  }
}
