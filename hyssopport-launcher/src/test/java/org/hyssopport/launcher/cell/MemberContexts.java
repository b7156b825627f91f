package org.hyssopport.launcher.cell;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import org.hyssopport.engine.scheduler.SchedulerSettings;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.platform.MetadataStore;
import org.hyssopport.platform.WorkerGateway;

/** Creates the context of a member that is tested without its servers. */
final class MemberContexts {

  private MemberContexts() {}

  /**
   * Returns the context of a member with one core and a wide link.
   *
   * @param storeAddress the host and port of the store
   * @param clock the local monotonic clock
   * @param logOutput receives the lines of the member's log
   */
  static MemberContext create(String storeAddress, InstantSource clock, OutputStream logOutput) {
    return create(storeAddress, clock, logOutput, 1, 1000);
  }

  /**
   * Returns the context of a member.
   *
   * @param storeAddress the host and port of the store
   * @param clock the local monotonic clock
   * @param logOutput receives the lines of the member's log
   * @param processors how many cores the member may use
   * @param linkMegabits the bandwidth of its link in Mbit/s
   */
  static MemberContext create(
      String storeAddress,
      InstantSource clock,
      OutputStream logOutput,
      double processors,
      double linkMegabits) {
    InstanceSettings settings =
        new InstanceSettings(
            "member",
            "ourthe",
            "127.0.0.1",
            "127.0.0.1:0",
            "127.0.0.1:0",
            1,
            0,
            processors,
            linkMegabits,
            430,
            storeAddress,
            Optional.empty(),
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofSeconds(3),
            Duration.ofMinutes(2),
            Duration.ofSeconds(6));
    return new MemberContext(
        settings,
        SchedulerSettings.of(settings.longestLease(), settings.gangWindow(), settings.retention()),
        MetadataStore.at(settings.storeAddress()),
        WorkerGateway.create(),
        clock,
        DecisionLog.start("member", new PrintStream(logOutput, true, StandardCharsets.UTF_8)),
        new CellMetrics(),
        Threads.bounded("orders", 1, 1),
        Threads.immediate("looks", 1));
  }
}
