package org.hyssopport.testkit.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.hyssopport.policy.Resources;
import org.hyssopport.testkit.world.SimulatedWorkers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Asks members, as processes, how many jobs wait while the scheduler changes. */
class PendingJobsEndToEndTests extends AbstractEndToEndTests {

  /** Members 11 to 13, whose addresses no other test uses. */
  private static final int FIRST_MEMBER = 11;

  private static final int MEMBER_COUNT = 3;
  private static final int WAITING_JOBS = 24;

  /** Spans the beginning of the next term and several heartbeats after it. */
  private static final Duration OBSERVATION = Duration.ofSeconds(5);

  private final Map<Integer, MemberProcess> members = new HashMap<>();
  private StoreStandIn store;
  private WorkersStandIn workers;

  @TempDir Path directory;

  @BeforeEach
  void start() throws Exception {
    store = StoreStandIn.open(LoopbackHosts.host(110));
    workers = WorkersStandIn.open(LoopbackHosts.host(111), 2, Resources.of(64, 262_144, 0), store);
    store.put("keyed.op", "config", configuration());
    for (int number = FIRST_MEMBER; number < FIRST_MEMBER + MEMBER_COUNT; number++) {
      members.put(
          number, MemberProcess.start(directory, number, store.address(), workers.address()));
    }
    for (MemberProcess member : members.values()) {
      await(() -> get(member.readinessAddress(), "/api/ready").statusCode() == 200);
    }
  }

  @AfterEach
  void stop() {
    members.values().forEach(MemberProcess::close);
    workers.close();
    store.close();
  }

  /** Returns a configuration with a route to the same queue on the host of each member. */
  private static String configuration() {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode().put("version", 1);
    ArrayNode routes = node.putArray("routes");
    for (int number = FIRST_MEMBER; number < FIRST_MEMBER + MEMBER_COUNT; number++) {
      ObjectNode route = routes.addObject();
      route.put("name", "plans").put("host", LoopbackHosts.host(number)).put("prefix", "/plans/");
      route.put("service", SimulatedWorkers.SERVICE).put("attempts", 2).put("stretch", 2.0);
      route.put("sloMs", 1000);
    }
    return node.toString();
  }

  /** Waits until a running member has begun a term, and returns its number. */
  private int awaitScheduler() throws Exception {
    AtomicInteger number = new AtomicInteger();
    await(
        () -> {
          for (Map.Entry<Integer, MemberProcess> member : members.entrySet()) {
            if (member.getValue().log().contains("term begun")) {
              number.set(member.getKey());
            }
          }
          return number.get() != 0;
        });
    return number.get();
  }

  /** Submits jobs that no worker can run, so that all of them wait for good. */
  private void submitWaitingJobs(MemberProcess member) throws Exception {
    ObjectNode body = PlatformHttpServer.MAPPER.createObjectNode().put("spec", "text");
    ObjectNode step = body.putArray("steps").addObject();
    step.put("count", 1).put("cpu", 1000).put("estMs", 100).put("requiredLabel", "on-no-worker");
    for (int job = 1; job <= WAITING_JOBS; job++) {
      String path = String.format("/plans/%016x", job);
      await(
          () ->
              send(HttpRequest.newBuilder(URI.create("http://" + member.callerAddress() + path))
                          .POST(HttpRequest.BodyPublishers.ofString(body.toString())))
                      .statusCode()
                  == 200);
    }
  }

  /** How the scheduler's process ends. */
  private enum Ending {
    KILLED {
      @Override
      void end(MemberProcess process) throws InterruptedException {
        process.kill();
      }
    },
    TERMINATED {
      @Override
      void end(MemberProcess process) throws InterruptedException {
        process.stop();
      }
    };

    abstract void end(MemberProcess process) throws InterruptedException;
  }

  // Guards against answering "0 pending" while a new term has not counted the waiting jobs yet.
  @ParameterizedTest
  @EnumSource(Ending.class)
  void newTermsDoNotReportThatNoJobsWait(Ending ending) throws Exception {
    int scheduler = awaitScheduler();
    MemberProcess ended = members.remove(scheduler);
    submitWaitingJobs(ended);
    String allWaiting = "{\"pending\":" + WAITING_JOBS + "}";
    for (MemberProcess member : members.values()) {
      await(() -> get(member.callerAddress(), "/plans/").body().equals(allWaiting));
    }
    Thread ender =
        new Thread(
            () -> {
              try {
                ending.end(ended);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
    ender.start();

    List<String> untrueAnswers = new ArrayList<>();
    long untilNanos = System.nanoTime() + OBSERVATION.toNanos();
    while (System.nanoTime() < untilNanos) {
      for (Map.Entry<Integer, MemberProcess> member : members.entrySet()) {
        HttpResponse<String> answer = get(member.getValue().callerAddress(), "/plans/");
        if (answer.statusCode() == 200 && !answer.body().equals(allWaiting)) {
          untrueAnswers.add("member " + member.getKey() + ": " + answer.body());
        }
      }
    }

    ender.join();
    assertEquals(List.of(), untrueAnswers);
    assertNotEquals(scheduler, awaitScheduler());
    for (MemberProcess member : members.values()) {
      await(() -> get(member.callerAddress(), "/plans/").body().equals(allWaiting));
    }
  }
}
