package org.hyssopport.testkit.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URI;
import java.net.http.HttpRequest;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hyssopport.policy.Resources;
import org.hyssopport.testkit.world.SimulatedWorkers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Withdraws the key of an organisation while the store turns one of the members away. */
class KeyWithdrawalEndToEndTests extends AbstractEndToEndTests {

  private static final int MEMBER_COUNT = 3;

  /** The number of the member that the store turns away. */
  private static final int TURNED_AWAY = 3;

  private static final String WITHDRAWN_KEY = "secret-withdrawn";
  private static final String NEXT_KEY = "secret-next";

  private final List<MemberProcess> members = new ArrayList<>();
  private StoreStandIn store;
  private String secondAddress;
  private WorkersStandIn workers;

  @TempDir Path directory;

  @BeforeEach
  void start() throws Exception {
    store = StoreStandIn.open(LoopbackHosts.host(100));
    secondAddress = store.openSecondAddress(LoopbackHosts.host(102));
    workers = WorkersStandIn.open(LoopbackHosts.host(101), 1, Resources.of(64, 262_144, 0), store);
    store.put("keyed.op", "config", configuration(3, WITHDRAWN_KEY));
  }

  /** Starts the members one after the other, of which the first one becomes the scheduler. */
  private void startMembers(List<Integer> numbers) throws Exception {
    for (int number : numbers) {
      String address = number == TURNED_AWAY ? secondAddress : store.address();
      MemberProcess member = MemberProcess.start(directory, number, address, workers.address());
      members.add(member);
      await(() -> get(member.readinessAddress(), "/api/ready").statusCode() == 200);
      await(() -> members.get(0).log().contains("term begun"));
    }
  }

  @AfterEach
  void stop() {
    members.forEach(MemberProcess::close);
    workers.close();
    store.close();
  }

  private static String configuration(int version, String key) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode().put("version", version);
    ArrayNode routes = node.putArray("routes");
    for (int number = 1; number <= MEMBER_COUNT; number++) {
      ObjectNode route = routes.addObject().put("name", "plans-" + number);
      route.put("host", LoopbackHosts.host(number)).put("prefix", "/plans/");
      route.put("service", SimulatedWorkers.SERVICE).put("attempts", 2);
    }
    ObjectNode organisation = node.putArray("tenants").addObject().put("name", "a");
    organisation.put("weight", 1).putArray("apiKeys").add(key);
    organisation.putObject("maxCount").put("cpu", 0).put("memMb", 0).put("gpu", 0);
    return node.toString();
  }

  private int statusOf(MemberProcess member, String key) throws Exception {
    URI uri = URI.create("http://" + member.callerAddress() + "/plans/00000000000000ff");
    return send(HttpRequest.newBuilder(uri).GET().header("Authorization", "Bearer " + key))
        .statusCode();
  }

  // The member that was turned away served the withdrawn key, and refused the next one. If it was
  // the scheduler, others replaced it, and it heard of no version any more.
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void keysAreWithdrawnFromMembersThatTheStoreTurnsAway(boolean scheduler) throws Exception {
    startMembers(scheduler ? List.of(TURNED_AWAY, 1, 2) : List.of(1, 2, TURNED_AWAY));
    for (MemberProcess member : members) {
      await(() -> statusOf(member, WITHDRAWN_KEY) == 410);
      assertEquals(401, statusOf(member, NEXT_KEY));
      assertEquals(401, get(member.callerAddress(), "/plans/").statusCode());
    }
    store.turnAwayAtSecondAddress();
    MemberProcess turnedAway = members.get(scheduler ? 0 : 2);
    await(() -> turnedAway.log().contains("store, for the configuration"));
    store.put("keyed.op", "config", configuration(7, NEXT_KEY));
    for (MemberProcess member : members) {
      await(() -> statusOf(member, WITHDRAWN_KEY) == 401);
      assertFalse(statusOf(member, NEXT_KEY) == 401);
    }
    String log = turnedAway.log();
    assertTrue(log.contains("\"source\":\"MEMBER\""), log);
    assertFalse(log.contains("secret"), log);
  }
}
