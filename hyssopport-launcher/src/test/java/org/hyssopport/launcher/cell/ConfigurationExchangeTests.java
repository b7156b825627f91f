package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.protocol.MemberMessage;
import org.hyssopport.protocol.MessagePackCodec;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how a configuration reaches the members that the store turns away. */
class ConfigurationExchangeTests {

  private static final String SECRET = "key-that-is-withdrawn";

  private final MessagePackCodec<MemberMessage.MemberEnvelope> codec =
      MessagePackCodec.of(MemberMessage.MemberEnvelope.class);
  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private final Map<String, FakeMember> members = new HashMap<>();

  /** The links of which one way is lost, as sender and receiver. */
  private final Set<List<String>> lostWays = new HashSet<>();

  /** A member without store that passes messages on at once. */
  private final class FakeMember implements MemberTransport {
    private final String name;
    private final List<MemberMessage> sent = new ArrayList<>();
    private final ConfigurationFollower follower;
    private final ConfigurationExchange exchange;

    private FakeMember(String name) {
      this.name = name;
      MemberContext context =
          MemberContexts.create("127.0.0.1:1", InstantSource.system(), logOutput);
      follower = new ConfigurationFollower(context.store(), context.log());
      exchange = new ConfigurationExchange(context, follower, this);
    }

    @Override
    public void send(String address, MemberMessage message) {
      synchronized (sent) {
        sent.add(message);
      }
      if (!lostWays.contains(List.of(name, address))) {
        byte[] payload = codec.encode(new MemberMessage.MemberEnvelope(name, message));
        members.get(address).exchange.receive(name, codec.decode(payload).get().message());
      }
    }

    @Override
    public void reconnect(String address) {}

    /** Applies a configuration as if it had been read from the store. */
    private boolean read(long version) {
      return follower.apply(configuration(version, 3), ConfigurationFollower.Source.STORE);
    }

    private long version() {
      return follower.current().map(CellConfiguration::version).orElse(0L);
    }
  }

  @BeforeEach
  void start() {
    for (String name : List.of("scheduler", "reader", "away")) {
      members.put(name, new FakeMember(name));
      members.get(name).read(1);
    }
  }

  private static byte[] configuration(long version, int routes) {
    StringBuilder json = new StringBuilder("{\"version\":" + version);
    json.append(
        ",\"tenants\":[{\"name\":\"a\",\"weight\":1,\"maxCount\":{},\"apiKeys\":[\""
            + SECRET
            + "\"]}]");
    json.append(",\"routes\":[");
    for (int route = 0; route < routes; route++) {
      json.append(route == 0 ? "" : ",");
      json.append("{\"name\":\"q" + route + "\",\"host\":\"cell.example\",\"prefix\":\"/q" + route);
      json.append("/\",\"service\":\"planner\",\"priority\":3,\"attempts\":3,\"stretch\":1.5}");
    }
    return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
  }

  /** A heartbeat of one member to another one, which states the version of its sender. */
  private void heartbeat(String from, String to) {
    ConfigurationExchange.statedVersion(members.get(from).follower.current())
        .ifPresent(version -> members.get(to).exchange.onOffer(from, version));
  }

  private void awaitVersion(String member, long version) {
    long deadlineNanos = System.nanoTime() + 10_000_000_000L;
    while (members.get(member).version() != version) {
      assertTrue(System.nanoTime() < deadlineNanos, member + " has not got " + version);
      Threads.pause(5);
    }
  }

  // Members that the store turned away served withdrawn keys until it answered them again.
  @Test
  void membersThatTheStoreTurnsAwayGetTheConfigurationOfTheScheduler() {
    members.get("scheduler").read(5);
    heartbeat("scheduler", "away");
    awaitVersion("away", 5);
  }

  @Test
  void schedulersThatTheStoreTurnsAwayPassOnWhatMembersHaveRead() {
    members.get("reader").read(5);
    heartbeat("reader", "scheduler");
    awaitVersion("scheduler", 5);
    heartbeat("scheduler", "away");
    awaitVersion("away", 5);
  }

  @Test
  void nextSchedulersPassItOnIfNoAnswerComesFromTheLastOne() {
    lostWays.add(List.of("scheduler", "away"));
    members.get("scheduler").read(5);
    heartbeat("scheduler", "away");
    heartbeat("scheduler", "reader");
    awaitVersion("reader", 5);
    assertEquals(1, members.get("away").version());
    members.get("reader").read(6);
    heartbeat("reader", "away");
    awaitVersion("away", 6);
  }

  @Test
  void anyMemberIsAskedWhileThereIsNoScheduler() {
    members.get("reader").read(5);
    members.get("away").exchange.askWithoutScheduler(Set.of("reader"), false);
    awaitVersion("away", 5);
  }

  @Test
  void olderConfigurationsNeitherSpreadNorReplace() {
    members.get("away").read(7);
    heartbeat("scheduler", "away");
    assertEquals(List.of(), members.get("away").sent);
    assertFalse(members.get("away").read(6));
    assertEquals(7, members.get("away").version());
  }

  @Test
  void cellsWithoutOrganisationsStateNoVersion() {
    FakeMember member = new FakeMember("plain");
    byte[] plain = "{\"version\":4,\"routes\":[]}".getBytes(StandardCharsets.UTF_8);
    assertTrue(member.follower.apply(plain, ConfigurationFollower.Source.STORE));
    assertEquals(Optional.empty(), ConfigurationExchange.statedVersion(member.follower.current()));
    member.exchange.askWithoutScheduler(Set.of("reader"), false);
    assertEquals(List.of(), member.sent);
  }

  // 1,400 routes: 35 ms on a link of 7 Mbit/s.
  @ParameterizedTest
  @ValueSource(ints = {0, 1400})
  void largeConfigurationsFitIntoSmallMessages(int routes) {
    byte[] value = configuration(2, routes);
    ByteBuffer deflated = CompressedConfiguration.deflate(ByteBuffer.wrap(value));
    assertTrue(deflated.remaining() < 30_000, "bytes: " + deflated.remaining());
    assertEquals(
        new String(value, StandardCharsets.UTF_8),
        new String(CompressedConfiguration.inflate(deflated).get(), StandardCharsets.UTF_8));
  }

  private static List<ByteBuffer> unusableValues() {
    ByteBuffer whole = CompressedConfiguration.deflate(ByteBuffer.wrap(configuration(9, 3)));
    return List.of(
        ByteBuffer.allocate(0),
        ByteBuffer.wrap("no compressed value".getBytes(StandardCharsets.UTF_8)),
        whole.slice(0, whole.remaining() / 2),
        CompressedConfiguration.deflate(ByteBuffer.wrap(new byte[] {'{'})),
        CompressedConfiguration.deflate(
            ByteBuffer.allocate(CompressedConfiguration.MAXIMUM_BYTES + 1)));
  }

  @ParameterizedTest
  @MethodSource("unusableValues")
  void unusableValuesAreSkippedAndLogged(ByteBuffer value) {
    FakeMember away = members.get("away");
    away.exchange.receive("reader", new MemberMessage.ConfigurationCopy(9, value));
    long deadlineNanos = System.nanoTime() + 10_000_000_000L;
    while (!logText().contains("not usable; skipped")) {
      assertTrue(System.nanoTime() < deadlineNanos, logText());
      Threads.pause(5);
    }
    assertEquals(1, away.version());
    assertFalse(logText().contains(SECRET), logText());
  }

  private String logText() {
    return logOutput.toString(StandardCharsets.UTF_8);
  }

  @Test
  void keysAreNotInTheTextOfMessages() {
    Either<String, MemberMessage.MemberEnvelope> decoded =
        codec.decode(
            codec.encode(
                new MemberMessage.MemberEnvelope(
                    "a:1",
                    new MemberMessage.ConfigurationCopy(
                        9, ByteBuffer.wrap(SECRET.getBytes(StandardCharsets.UTF_8))))));
    assertFalse(decoded.get().toString().contains(SECRET), decoded.toString());
  }
}
