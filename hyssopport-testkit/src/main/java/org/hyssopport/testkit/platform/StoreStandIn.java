package org.hyssopport.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hyssopport.testkit.platform.PlatformHttpServer.Call;
import org.hyssopport.testkit.platform.PlatformHttpServer.Reply;

/**
 * Stand-in for the platform's metadata store: topics of records, the newest record of each key, and
 * consumer groups.
 *
 * <p>Each topic has only partition 0. Each group therefore has one partition to assign, whose owner
 * is the present member that joined first.
 *
 * @since 0.2
 */
public final class StoreStandIn implements AutoCloseable {

  private static final int PAGE_SIZE = 500;
  private static final long POLL_INTERVAL_MILLIS = 10;

  private final PlatformHttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private volatile boolean secondAddressClosed;
  private Optional<PlatformHttpServer> secondServer = Optional.empty();
  private boolean down;
  private boolean silent;
  private int answersToLose;
  private int appendCount;
  private Optional<String> heldTopic = Optional.empty();
  private final Set<String> heldAppends = new HashSet<>();
  private int appendsToRelease;
  private Optional<String> topicToFence = Optional.empty();

  /**
   * The records of a topic, the offset of the newest record of each key, and the epochs and
   * sequence numbers of its producers.
   */
  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Long> newestOffsets = new TreeMap<>();
    private final Map<String, Long> producerEpochs = new HashMap<>();
    private final Map<String, Long> lastSequences = new HashMap<>();
    private final Map<String, Map<Long, Long>> offsetsBySequence = new HashMap<>();
    private int firstRetained;
  }

  /** The members of a group in the order in which they joined, with their deadlines. */
  private static final class Group {
    private final LinkedHashMap<String, Long> memberDeadlines = new LinkedHashMap<>();
    private long generation = 1;
  }

  private StoreStandIn(PlatformHttpServer server) {
    this.server = server;
  }

  /**
   * Starts an empty store on a free port.
   *
   * @throws IOException if no port can be bound
   */
  public static StoreStandIn open(String host) throws IOException {
    StoreStandIn store = new StoreStandIn(PlatformHttpServer.open(host, 0));
    store.handlers().forEach(store.server::addHandler);
    return store;
  }

  private Map<String, PlatformHttpServer.Handler> handlers() {
    return Map.of(
        "/api/log-append", unlessSilent(this::append),
        "/api/log-read", unlessSilent(this::read),
        "/api/log-newest", unlessSilent(this::readNewest),
        "/api/log-join", unlessSilent(this::join),
        "/api/log-leave", unlessSilent(this::leave));
  }

  /**
   * Opens a second address, for the members that {@link #turnAwayAtSecondAddress} concerns.
   *
   * @return its host and port
   * @throws IOException if no port can be bound
   */
  public String openSecondAddress(String host) throws IOException {
    PlatformHttpServer second = PlatformHttpServer.open(host, 0);
    handlers()
        .forEach(
            (path, handler) ->
                second.addHandler(
                    path, call -> secondAddressClosed ? Reply.empty(503) : handler.answer(call)));
    secondServer = Optional.of(second);
    return second.address();
  }

  /** Answers all calls at the second address with status 503 from now on, and no others. */
  public void turnAwayAtSecondAddress() {
    secondAddressClosed = true;
  }

  private PlatformHttpServer.Handler unlessSilent(PlatformHttpServer.Handler handler) {
    return call -> {
      waitWhileSilent();
      return handler.answer(call);
    };
  }

  /** Returns the host and port of the store. */
  public String address() {
    return server.address();
  }

  /**
   * Starts or ends an outage, during which the store answers appends, reads and joins with status
   * 503 and without effect.
   */
  public synchronized void setDown(boolean nowDown) {
    down = nowDown;
  }

  /** Lets all calls wait from now on, without effect, until the store is closed. */
  public synchronized void beSilent() {
    silent = true;
  }

  private synchronized void waitWhileSilent() throws InterruptedException {
    while (silent) {
      wait();
    }
  }

  /** Closes the connections of the next appends without an answer, after they have taken effect. */
  public synchronized void loseNextAnswers(int count) {
    answersToLose = count;
  }

  /**
   * Holds the appends of a topic from now on: until they are released, they have no effect and get
   * no answer. Other topics, reads and joins are served.
   */
  public synchronized void holdAppends(String topic) {
    heldTopic = Optional.of(topic);
  }

  /** Returns the number of different appends that have been held, without their repetitions. */
  public synchronized int heldAppendCount() {
    return heldAppends.size();
  }

  /** Releases one held append, which then takes effect, and its repetitions are answered. */
  public synchronized void releaseOneAppend() {
    appendsToRelease++;
    notifyAll();
  }

  /** Releases all held appends and ends the holding. */
  public synchronized void releaseAppends() {
    heldTopic = Optional.empty();
    notifyAll();
  }

  /** Rejects the next append of a producer to a topic, as if a newer epoch existed. */
  public synchronized void fenceNextAppend(String topic) {
    topicToFence = Optional.of(topic);
  }

  /** Makes all present offsets of a topic unreadable; the newest record of each key remains. */
  public synchronized void compact(String topic) {
    Topic compacted = topic(topic);
    compacted.firstRetained = compacted.records.size();
  }

  /** Returns the number of append calls received, including those that failed. */
  public synchronized int appendCount() {
    return appendCount;
  }

  /** Appends a record without a producer, as the operator and the workers do. */
  public synchronized void put(String topic, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    addRecord(topic(topic), content.array());
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, each -> new Topic());
  }

  /**
   * Adds a record to a topic. The content is one byte with the length of the key, the key and the
   * value; an empty value removes the key.
   */
  private static void addRecord(Topic topic, byte[] content) {
    int keyLength = Byte.toUnsignedInt(content[0]);
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    topic.records.add(content);
    if (content.length == 1 + keyLength) {
      topic.newestOffsets.remove(key);
    } else {
      topic.newestOffsets.put(key, (long) topic.records.size() - 1);
    }
  }

  private synchronized Reply append(Call call) throws InterruptedException {
    appendCount++;
    waitWhileHeld(call);
    if (down) {
      return Reply.empty(503);
    }
    Topic topic = topic(call.query().get("topic"));
    String producer = call.query().get("producer");
    if (producer != null && topicToFence.filter(call.query().get("topic")::equals).isPresent()) {
      topicToFence = Optional.empty();
      return refusalReply("fenced");
    }
    if (producer != null) {
      long epoch = call.longParameter("epoch");
      long sequence = call.longParameter("seq");
      long latestEpoch = topic.producerEpochs.getOrDefault(producer, -1L);
      if (epoch < latestEpoch) {
        return refusalReply("fenced");
      }
      if (epoch > latestEpoch) {
        topic.producerEpochs.put(producer, epoch);
        topic.offsetsBySequence.put(producer, new HashMap<>());
      } else if (topic.offsetsBySequence.get(producer).containsKey(sequence)) {
        return appendReply(topic, topic.offsetsBySequence.get(producer).get(sequence));
      } else if (sequence != topic.lastSequences.get(producer) + 1) {
        return refusalReply("seq");
      }
      topic.lastSequences.put(producer, sequence);
      topic.offsetsBySequence.get(producer).put(sequence, (long) topic.records.size());
    }
    long offset = topic.records.size();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    while (body.hasRemaining()) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      addRecord(topic, content);
    }
    if (answersToLose > 0) {
      answersToLose--;
      return Reply.empty(0);
    }
    return appendReply(topic, offset);
  }

  private void waitWhileHeld(Call call) throws InterruptedException {
    String topicName = call.query().get("topic");
    boolean holding = heldTopic.filter(topicName::equals).isPresent();
    while (holding && !isRepetition(call)) {
      heldAppends.add(call.exchange().getRequestURI().getRawQuery());
      if (appendsToRelease > 0) {
        appendsToRelease--;
        notifyAll();
        return;
      }
      wait();
      holding = heldTopic.filter(topicName::equals).isPresent();
    }
  }

  /** Returns whether an append with the same producer, epoch and sequence number took effect. */
  private boolean isRepetition(Call call) {
    Topic topic = topic(call.query().get("topic"));
    String producer = call.query().get("producer");
    return producer != null
        && call.longParameter("epoch") == topic.producerEpochs.getOrDefault(producer, -1L)
        && topic.offsetsBySequence.get(producer).containsKey(call.longParameter("seq"));
  }

  private static Reply refusalReply(String reason) {
    return Reply.json(409, PlatformHttpServer.MAPPER.createObjectNode().put("reason", reason));
  }

  private static Reply appendReply(Topic topic, long offset) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    return Reply.json(200, node.put("offset", offset).put("end", topic.records.size()));
  }

  private Reply read(Call call) throws InterruptedException {
    long waitDeadline = System.currentTimeMillis() + call.longParameter("waitMs");
    while (true) {
      synchronized (this) {
        Topic topic = topic(call.query().get("topic"));
        long from = call.longParameter("from");
        if (down) {
          return Reply.empty(503);
        }
        if (from < topic.firstRetained) {
          ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
          return Reply.json(410, node.put("first", topic.firstRetained));
        }
        if (from < topic.records.size() || System.currentTimeMillis() >= waitDeadline) {
          return new Reply(200, encodePage(topic, from));
        }
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  /**
   * Encodes the topic's next offset, its first retained offset and the records from an offset on,
   * each after its length.
   */
  private static byte[] encodePage(Topic topic, long from) {
    List<byte[]> records =
        topic.records.subList((int) Math.min(from, topic.records.size()), topic.records.size());
    int size = records.stream().mapToInt(content -> content.length + Integer.BYTES).sum();
    ByteBuffer page = ByteBuffer.allocate(2 * Long.BYTES + size);
    page.putLong(topic.records.size()).putLong(topic.firstRetained);
    records.forEach(content -> page.putInt(content.length).put(content));
    return page.array();
  }

  private synchronized Reply readNewest(Call call) {
    if (down) {
      return Reply.empty(503);
    }
    Topic topic = topic(call.query().get("topic"));
    Map<String, Long> remaining =
        topic.newestOffsets.tailMap(call.query().getOrDefault("after", ""), false);
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    ArrayNode items = node.putArray("items");
    for (Map.Entry<String, Long> entry : remaining.entrySet()) {
      if (items.size() == PAGE_SIZE) {
        break;
      }
      byte[] content = topic.records.get(entry.getValue().intValue());
      byte[] value =
          Arrays.copyOfRange(content, 1 + Byte.toUnsignedInt(content[0]), content.length);
      ObjectNode item = items.addObject();
      item.put("key", entry.getKey());
      item.put("value", Base64.getEncoder().encodeToString(value));
      item.put("offset", entry.getValue());
    }
    node.put("more", remaining.size() > items.size());
    node.put("end", topic.records.size());
    return Reply.json(200, node);
  }

  private synchronized Reply join(Call call) throws IOException {
    if (down) {
      return Reply.empty(503);
    }
    JsonNode body = call.json();
    Group group = groups.computeIfAbsent(body.path("group").asText(), each -> new Group());
    String member = body.path("member").asText();
    long now = System.currentTimeMillis();
    boolean membershipChanged = group.memberDeadlines.values().removeIf(deadline -> deadline < now);
    membershipChanged |= !group.memberDeadlines.containsKey(member);
    group.memberDeadlines.put(member, now + body.path("ttlMs").asLong());
    group.generation += membershipChanged ? 1 : 0;
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    node.put("generation", group.generation);
    ArrayNode ownedPartitions = node.putArray("parts");
    boolean generationMatches = body.path("generation").asLong() == group.generation;
    boolean isOwner = group.memberDeadlines.keySet().iterator().next().equals(member);
    if (generationMatches && isOwner) {
      ownedPartitions.addArray().add(body.path("topics").path(0).asText()).add(0).add(0);
    }
    return Reply.json(200, node);
  }

  private synchronized Reply leave(Call call) throws IOException {
    JsonNode body = call.json();
    Group group = groups.computeIfAbsent(body.path("group").asText(), each -> new Group());
    if (group.memberDeadlines.remove(body.path("member").asText()) != null) {
      group.generation++;
    }
    return Reply.json(200, PlatformHttpServer.MAPPER.createObjectNode());
  }

  @Override
  public void close() {
    secondServer.ifPresent(PlatformHttpServer::close);
    server.close();
  }
}
