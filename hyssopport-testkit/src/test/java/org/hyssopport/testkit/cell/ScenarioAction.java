package org.hyssopport.testkit.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.TimelineKind;
import org.hyssopport.testkit.cell.CellCallers.Submission;
import org.hyssopport.testkit.cell.Scenario.ScenarioStep;
import org.hyssopport.testkit.oracle.ReportedOutcome.Verdict;

/** The actions that the steps of a scenario name. */
enum ScenarioAction {
  WAIT {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().advance(Duration.ofMillis(step.millis()));
    }
  },
  REQUEST {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      for (int number = 0; number < step.count(); number++) {
        Duration patience = Duration.ofMillis(step.patience());
        run.callers().request(step.receiver(number), "check", step.millis(), patience);
      }
    }
  },
  /** Sends requests one at a time, 20 ms apart. */
  REQUEST_STREAM {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      for (int number = 0; number < step.count(); number++) {
        Duration patience = Duration.ofMillis(step.patience());
        run.callers().request(step.receiver(number), "check", step.millis(), patience);
        run.cell().advance(Duration.ofMillis(20));
      }
    }
  },
  TICKET {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      for (int number = 0; number < step.count(); number++) {
        run.callers().requestByTicket(step.on(), step.to(), "deposit", step.millis());
      }
    }
  },
  KEY {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      for (int number = 0; number < step.count(); number++) {
        run.callers().requestByKey(step.to(), "deposit", step.millis());
      }
    }
  },
  BATCH {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      for (int number = 0; number < step.count(); number++) {
        run.callers().submit(step.receiver(number), "plan", 2, step.millis(), false);
      }
    }
  },
  FAILING_BATCH {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.callers().submit(step.receiver(0), "plan", 1, step.millis(), true);
    }
  },
  GANG {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.callers().submit(step.receiver(0), "joint", step.count(), step.millis(), false);
    }
  },
  CANCEL {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.callers().cancel(step.receiver(0), step.count());
    }
  },
  KILL {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().killEntry(step.on());
    }
  },
  RESTART {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().startEntry(step.on());
    }
  },
  FREEZE {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().freezeEntry(step.on());
    }
  },
  THAW {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().thawEntry(step.on());
    }
  },
  DRAIN {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().drainEntry(step.on());
    }
  },
  /** Lists a worker as leaving in the live list. */
  LEAVE_WORKER {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.listWorkerAsLeaving(step.on());
    }
  },
  /** Makes a worker report that it is leaving, without a change of the live list. */
  WORKER_SAYS_LEAVING {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().worker(step.on()).setLeaving(true);
      run.recordDeparture(step.on());
    }
  },
  CUT {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().cut(step.to().get(0), step.to().get(1));
    }
  },
  CUT_FROM_PLATFORM {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().cutFromPlatform(step.on());
    }
  },
  WORKER_DOWN {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().setWorkerDown(step.on(), true);
    }
  },
  REBOOT {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().worker(step.on()).reboot(run.cell().now());
    }
  },
  FAILS_EVERYTHING {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().worker(step.on()).setFailsEverything(true);
    }
  },
  SOUND_AGAIN {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().worker(step.on()).setFailsEverything(false);
    }
  },
  LOSE_ANSWERS {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().loseAnswers(step.on(), step.count());
    }
  },
  NOISE {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().setShares(0.2, 0.2, 0.05);
    }
  },
  LOG_DOWN {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().setLogDown(true);
    }
  },
  LOG_LOSES_ANSWERS {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().setLogLosesAnswers(true);
    }
  },
  LOG_SLOW {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().setLogDelay(Duration.ofMillis(step.millis()));
    }
  },
  LIST_DOWN {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().setListDown(true);
    }
  },
  CLOCK {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().worker(step.on()).setClockOffset(Duration.ofMillis(step.millis()));
    }
  },
  PUBLISH {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.publish(step.receiver(0));
    }
  },
  RACE {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.publishConcurrently(step.receiver(0), step.receiver(1));
    }
  },
  HEAL {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.cell().faults().heal();
    }
  },
  /** Limits later expectations on verdicts to the submissions sent after this step. */
  MARK {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.mark();
    }
  },
  /** Asserts that every submission since the mark got the verdict, and that there is one. */
  EXPECT_ALL {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      List<Optional<Verdict>> verdicts =
          run.submissionsSinceMark().stream().map(Submission::verdict).toList();
      Optional<Verdict> expected = Optional.of(Verdict.valueOf(step.verdict()));
      assertTrue(
          !verdicts.isEmpty() && verdicts.stream().allMatch(expected::equals), verdicts::toString);
    }
  },
  /** Asserts that at least {@code count} submissions since the mark got the verdict. */
  EXPECT_AT_LEAST {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      Optional<Verdict> expected = Optional.of(Verdict.valueOf(step.verdict()));
      long count =
          run.submissionsSinceMark().stream()
              .filter(each -> each.verdict().equals(expected))
              .count();
      assertTrue(
          count >= step.count(),
          () -> "submissions since the mark: only " + count + " got " + step.verdict());
    }
  },
  EXPECT_JOBS_ENDED {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      run.callers().refreshJobs(step.receiver(0));
      run.cell().advance(Duration.ofMillis(200));
      assertEquals(List.of(), run.callers().unfinishedJobs());
    }
  },
  /** Asserts that the newest configuration is in force on all instances named. */
  EXPECT_IN_FORCE {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      List<Long> versions = new ArrayList<>();
      for (String entry : step.to()) {
        run.cell()
            .call(
                entry,
                Event.ConfigurationQueried::new,
                answer ->
                    versions.add(
                        answer instanceof Answer.ConfigurationAnswer current
                            ? current.version()
                            : Long.MIN_VALUE));
      }
      assertEquals(step.to().size(), versions.size());
      assertTrue(
          versions.stream().allMatch(version -> version == run.newestVersion()),
          () -> versions + " in force, expected on all: " + run.newestVersion());
    }
  },
  /** Asserts the number of accepted publications, which includes the first configuration. */
  EXPECT_PUBLICATIONS {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      assertEquals(step.count(), run.callers().publicationsAccepted());
    }
  },
  /** Asserts that each worker of a domain is held by one of the instances named. */
  EXPECT_HELD {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      for (String worker : run.cell().workerNames()) {
        if (worker.startsWith(step.on())) {
          String holder =
              run.cell().worker(worker).holder(run.cell().now()).map(Object::toString).orElse("");
          assertTrue(
              step.to().stream().anyMatch(entry -> holder.startsWith(entry + "@")),
              () -> worker + " is held by " + holder);
        }
      }
    }
  },
  /** Asserts that the timeline has at least {@code count} events of a kind. */
  EXPECT_NOTED {
    @Override
    void apply(ScenarioRun run, ScenarioStep step) {
      int occurrences = run.cell().timelineEventCount(TimelineKind.valueOf(step.verdict()));
      assertTrue(
          occurrences >= step.count(),
          () -> step.verdict() + " was recorded only " + occurrences + " times");
    }
  };

  abstract void apply(ScenarioRun run, ScenarioStep step);
}
