package org.hyssopport.testkit.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.policy.Json;
import org.hyssopport.testkit.standin.FaultInjectingHttpServer.HttpCall;

/**
 * Runs the stand-in live list as a process. A POST replaces the instances; every call is answered
 * with the list of instances as it was before the configured lag.
 *
 * @since 0.1
 */
public final class LiveListServer {

  private static final int MAXIMUM_VERSIONS = 200;

  private final InstantSource clock = InstantSource.system();
  private final FaultInjectingHttpServer server;
  private final Deque<LiveList> versions = new ArrayDeque<>();

  private LiveListServer(int port) throws IOException {
    server = FaultInjectingHttpServer.bind(port, faults -> {});
    versions.add(new LiveList(clock.instant(), List.of()));
    server.addHandler("/instances", this::handle);
  }

  /**
   * Starts a live list without instances.
   *
   * @param port the port on the loopback interface
   * @throws IOException if the port can't be bound
   */
  public static LiveListServer start(int port) throws IOException {
    LiveListServer liveListServer = new LiveListServer(port);
    liveListServer.server.start();
    return liveListServer;
  }

  private synchronized void handle(HttpCall call) throws JsonProcessingException {
    if (call.exchange().getRequestMethod().equals("POST")) {
      List<LiveInstance> instances = new ArrayList<>();
      for (var node : call.body()) {
        instances.add(Json.mapper().treeToValue(node, LiveInstance.class));
      }
      versions.add(new LiveList(clock.instant(), instances));
      if (versions.size() > MAXIMUM_VERSIONS) {
        versions.remove();
      }
    }
    server.answer(call.exchange(), 200, laggingList());
  }

  private LiveList laggingList() {
    Instant visibleUntil = clock.instant().minusMillis(server.faults().lagMillis());
    LiveList latestVisible = versions.getFirst();
    for (LiveList version : versions) {
      if (!version.instant().isAfter(visibleUntil)) {
        latestVisible = version;
      }
    }
    return new LiveList(visibleUntil, latestVisible.instances());
  }
}
