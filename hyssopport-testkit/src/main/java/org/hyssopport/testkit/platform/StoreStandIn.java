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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssopport.testkit.platform.PlatformHttpServer.Call;
import org.hyssopport.testkit.platform.PlatformHttpServer.Reply;

/**
 * The platform's metadata store: topics of records, newest records by key, and member groups.
 *
 * <p>Only partition 0 of each topic holds records; a group deals out one seat.
 *
 * @since 0.2
 */
public final class StoreStandIn implements AutoCloseable {

  private static final int PAGE = 500;
  private static final long POLL_MILLIS = 10;

  private final PlatformHttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private boolean down;
  private int loseAnswers;
  private int appends;

  /** The records of a topic, the newest of each key, and what its writers said last. */
  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Long> newest = new TreeMap<>();
    private final Map<String, Long> epochs = new HashMap<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final Map<String, Map<Long, Long>> offsets = new HashMap<>();
    private int first;
  }

  /** The members of a group in the order of their joining. */
  private static final class Group {
    private final LinkedHashMap<String, Long> until = new LinkedHashMap<>();
    private long generation = 1;
  }

  private StoreStandIn(PlatformHttpServer server) {
    this.server = server;
  }

  /** Opens a store. */
  public static StoreStandIn open(String host) throws IOException {
    StoreStandIn store = new StoreStandIn(PlatformHttpServer.open(host, 0));
    store.server.addHandler("/api/log-append", store::append);
    store.server.addHandler("/api/log-read", store::read);
    store.server.addHandler("/api/log-newest", store::newest);
    store.server.addHandler("/api/log-join", store::join);
    store.server.addHandler("/api/log-leave", store::leave);
    return store;
  }

  /** Returns where it listens. */
  public String address() {
    return server.address();
  }

  /** Makes every call fail without effect, or ends that. */
  public synchronized void setDown(boolean nowDown) {
    down = nowDown;
  }

  /** Breaks the answers of the next appends off after they have taken effect. */
  public synchronized void loseAnswers(int count) {
    loseAnswers = count;
  }

  /** Drops the history of a topic; the newest record of each key stays. */
  public synchronized void compact(String topic) {
    Topic known = topic(topic);
    known.first = known.records.size();
  }

  /** Returns how many appends were asked for. */
  public synchronized int appends() {
    return appends;
  }

  /** Writes a record as the operator or a worker would. */
  public synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] text = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + text.length);
    content.put((byte) name.length).put(name).put(text);
    add(topic(topic), content.array());
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, each -> new Topic());
  }

  private static void add(Topic topic, byte[] content) {
    int keyLength = Byte.toUnsignedInt(content[0]);
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    topic.records.add(content);
    if (content.length == 1 + keyLength) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, (long) topic.records.size() - 1);
    }
  }

  private synchronized Reply append(Call call) {
    appends++;
    if (down) {
      return Reply.empty(503);
    }
    Topic topic = topic(call.query().get("topic"));
    String writer = call.query().get("producer");
    if (writer != null) {
      long epoch = call.longParameter("epoch");
      long sequence = call.longParameter("seq");
      long known = topic.epochs.getOrDefault(writer, -1L);
      if (epoch < known) {
        return refused("fenced");
      }
      if (epoch > known) {
        topic.epochs.put(writer, epoch);
        topic.offsets.put(writer, new HashMap<>());
      } else if (topic.offsets.get(writer).containsKey(sequence)) {
        return appended(topic, topic.offsets.get(writer).get(sequence));
      } else if (sequence != topic.sequences.get(writer) + 1) {
        return refused("seq");
      }
      topic.sequences.put(writer, sequence);
      topic.offsets.get(writer).put(sequence, (long) topic.records.size());
    }
    long offset = topic.records.size();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    while (body.hasRemaining()) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      add(topic, content);
    }
    if (loseAnswers > 0) {
      loseAnswers--;
      return Reply.empty(0);
    }
    return appended(topic, offset);
  }

  private static Reply refused(String reason) {
    return Reply.json(409, PlatformHttpServer.MAPPER.createObjectNode().put("reason", reason));
  }

  private static Reply appended(Topic topic, long offset) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    return Reply.json(200, node.put("offset", offset).put("end", topic.records.size()));
  }

  private Reply read(Call call) throws InterruptedException {
    long until = System.currentTimeMillis() + call.longParameter("waitMs");
    while (true) {
      synchronized (this) {
        Topic topic = topic(call.query().get("topic"));
        long from = call.longParameter("from");
        if (down) {
          return Reply.empty(503);
        }
        if (from < topic.first) {
          ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
          return Reply.json(410, node.put("first", topic.first));
        }
        if (from < topic.records.size() || System.currentTimeMillis() >= until) {
          return new Reply(200, page(topic, from));
        }
      }
      Thread.sleep(POLL_MILLIS);
    }
  }

  private static byte[] page(Topic topic, long from) {
    List<byte[]> records =
        topic.records.subList((int) Math.min(from, topic.records.size()), topic.records.size());
    int size = records.stream().mapToInt(each -> each.length + Integer.BYTES).sum();
    ByteBuffer page = ByteBuffer.allocate(2 * Long.BYTES + size);
    page.putLong(topic.records.size()).putLong(topic.first);
    records.forEach(each -> page.putInt(each.length).put(each));
    return page.array();
  }

  private synchronized Reply newest(Call call) {
    if (down) {
      return Reply.empty(503);
    }
    Topic topic = topic(call.query().get("topic"));
    Map<String, Long> later = topic.newest.tailMap(call.query().getOrDefault("after", ""), false);
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    ArrayNode items = node.putArray("items");
    for (Map.Entry<String, Long> entry : later.entrySet()) {
      if (items.size() == PAGE) {
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
    node.put("more", later.size() > items.size());
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
    boolean changed = group.until.values().removeIf(until -> until < now);
    changed |= !group.until.containsKey(member);
    group.until.put(member, now + body.path("ttlMs").asLong());
    group.generation += changed ? 1 : 0;
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    node.put("generation", group.generation);
    ArrayNode parts = node.putArray("parts");
    boolean current = body.path("generation").asLong() == group.generation;
    boolean owner = group.until.keySet().iterator().next().equals(member);
    if (current && owner) {
      parts.addArray().add(body.path("topics").path(0).asText()).add(0).add(0);
    }
    return Reply.json(200, node);
  }

  private synchronized Reply leave(Call call) throws IOException {
    JsonNode body = call.json();
    Group group = groups.computeIfAbsent(body.path("group").asText(), each -> new Group());
    if (group.until.remove(body.path("member").asText()) != null) {
      group.generation++;
    }
    return Reply.json(200, PlatformHttpServer.MAPPER.createObjectNode());
  }

  @Override
  public void close() {
    server.close();
  }
}
