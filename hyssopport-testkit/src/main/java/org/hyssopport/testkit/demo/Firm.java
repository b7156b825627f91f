package org.hyssopport.testkit.demo;

import java.time.Duration;
import java.util.List;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.Team;
import org.hyssopport.policy.WorkClass;

/**
 * The firms of the demonstration, each with its failure domains, worker size and policy.
 *
 * @since 0.1
 */
public enum Firm {
  /** Hires out draisines; a family at a kiosk leaves if an availability check takes long. */
  ARDENNES("lesse ourthe semois", 64, 256 * 1024, 2) {
    @Override
    public Configuration configuration() {
      return Configuration.named("ardennes")
          .with(Team.named("booking", Resources.of(600, 2_000_000, 20)))
          .with(Team.named("planning", Resources.of(900, 3_000_000, 40)))
          .with(
              WorkClass.service("availability", "booking")
                  .holding(Resources.of(2, 2048, 0))
                  .patientFor(Duration.ofMillis(1500))
                  .running(Duration.ofMillis(30)))
          .with(
              WorkClass.service("deposit", "booking")
                  .holding(Resources.of(1, 1024, 0))
                  .patientFor(Duration.ofSeconds(5))
                  .running(Duration.ofMillis(40)))
          .with(WorkClass.batch("route-plan", "planning").holding(Resources.of(4, 8192, 0)))
          .with(WorkClass.gang("season-plan", "planning").holding(Resources.of(8, 16384, 1)));
    }

    @Override
    public WorkClassNames workClassNames() {
      return new WorkClassNames("availability", "deposit", "route-plan", "season-plan");
    }
  },
  /** An ironing service; a caller stays on the phone during a slot check. */
  TANIMURA("fukuoka kumamoto saga", 16, 64 * 1024, 1) {
    @Override
    public Configuration configuration() {
      return Configuration.named("tanimura")
          .with(Team.named("desk", Resources.of(200, 500_000, 10)))
          .with(Team.named("drivers", Resources.of(300, 900_000, 20)))
          .with(
              WorkClass.service("slot-check", "desk")
                  .holding(Resources.of(1, 1024, 0))
                  .patientFor(Duration.ofSeconds(2))
                  .running(Duration.ofMillis(40)))
          .with(
              WorkClass.service("pickup", "desk")
                  .holding(Resources.of(1, 1024, 0))
                  .patientFor(Duration.ofSeconds(6))
                  .running(Duration.ofMillis(60)))
          .with(WorkClass.batch("route-sheet", "drivers").holding(Resources.of(2, 4096, 0)))
          .with(WorkClass.gang("week-plan", "drivers").holding(Resources.of(3, 8192, 0)));
    }

    @Override
    public WorkClassNames workClassNames() {
      return new WorkClassNames("slot-check", "pickup", "route-sheet", "week-plan");
    }
  };

  private final String failureDomains;
  private final long processors;
  private final long memoryMebibytes;
  private final long accelerators;

  Firm(String failureDomains, long processors, long memoryMebibytes, long accelerators) {
    this.failureDomains = failureDomains;
    this.processors = processors;
    this.memoryMebibytes = memoryMebibytes;
    this.accelerators = accelerators;
  }

  /** Returns the firm's teams and work classes. */
  public abstract Configuration configuration();

  /** Returns the names of the work classes that the demonstration workload uses. */
  public abstract WorkClassNames workClassNames();

  /** Returns the firm's failure domains in order. */
  public List<String> failureDomains() {
    return List.of(failureDomains.split(" ", -1));
  }

  /** Returns the resources of one worker. */
  public Resources workerCapacity() {
    return Resources.of(processors, memoryMebibytes, accelerators);
  }

  /**
   * The names of the work classes of a demonstration workload.
   *
   * @param checkService the service whose requests may be repeated
   * @param bookingService the service whose requests must run at most once
   * @param batchClass the class of batch jobs
   * @param gangClass the class of gang jobs
   */
  public record WorkClassNames(
      String checkService, String bookingService, String batchClass, String gangClass) {}
}
