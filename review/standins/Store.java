import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
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

/** Stand-in of the platform's store, with one partition a topic. */
final class Store {

  static final int RECORD_BYTES = 262_144;
  static final int CALL_BYTES = 2_097_152;
  private static final long APPEND_MILLIS = 2;
  private static final double PARTITION_BYTES_PER_MILLI = 20_000;
  private static final int KEPT_APPENDS = 5;
  private static final long PARTITION_BYTES = 200L << 20;

  private static final class Producer {
    long epoch = -1;
    long sequence;
    final LinkedHashMap<Long, long[]> answers = new LinkedHashMap<>();
  }

  private static final class Topic {
    /** The records by offset; those before {@link #first} are deleted. */
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Newest> newest = new TreeMap<>();
    int first;
    long bytes;
    final Map<String, Producer> producers = new HashMap<>();
  }

  private record Newest(long offset, byte[] content) {}

  private static final class Group {
    final LinkedHashMap<String, Long> expiry = new LinkedHashMap<>();
    long generation = 1;
  }

  private final Http http;
  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Object> appendLocks = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();
  private volatile boolean busy;
  volatile long largestAppend;
  volatile int refusedForSize;

  private Store(Http http) {
    this.http = http;
  }

  static Store open(String ip) throws IOException {
    Store store = new Store(Http.open(ip));
    store.http.on("/api/log-append", store::append);
    store.http.on("/api/log-read", store::read);
    store.http.on("/api/log-newest", store::newest);
    store.http.on("/api/log-join", store::join);
    store.http.on("/api/log-leave", store::leave);
    return store;
  }

  /** Returns the bytes that a topic holds. */
  synchronized long bytes(String topic) {
    return topic(topic).bytes;
  }

  String address() {
    return http.address();
  }

  /** While the store is down, it answers each call with 503 and does nothing. */
  void setDown(boolean down) {
    busy = down;
  }

  private synchronized Topic topic(String name) {
    return topics.computeIfAbsent(name, each -> new Topic());
  }

  /** Writes a record as the operator and the workers do; an empty value drops the key. */
  synchronized void put(String topic, String key, byte[] value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + name.length + value.length);
    content.put((byte) name.length).put(name).put(value);
    add(topic(topic), content.array());
    notifyAll();
  }

  /** Returns the newest value of a key, or null. */
  synchronized byte[] value(String topic, String key) {
    Newest newest = topic(topic).newest.get(key);
    return newest == null ? null : valueOf(newest.content());
  }

  private static byte[] valueOf(byte[] content) {
    return Arrays.copyOfRange(content, 1 + (content[0] & 255), content.length);
  }

  private static void add(Topic topic, byte[] content) {
    int length = content[0] & 255;
    String key = new String(content, 1, length, StandardCharsets.UTF_8);
    topic.records.add(content);
    topic.bytes += content.length;
    while (topic.bytes > PARTITION_BYTES) {
      topic.bytes -= topic.records.set(topic.first++, null).length;
    }
    if (content.length == 1 + length) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, new Newest(topic.records.size() - 1, content));
    }
  }

  private Http.Reply append(Http.Call call) throws Exception {
    if (busy) {
      return Http.Reply.empty(503);
    }
    String name = call.query().get("topic");
    Object lock;
    synchronized (this) {
      lock = appendLocks.computeIfAbsent(name, each -> new Object());
    }
    // A partition processes its appends one at a time.
    synchronized (lock) {
      Thread.sleep(APPEND_MILLIS + (long) (call.body().length / PARTITION_BYTES_PER_MILLI));
      return appendNow(call, topic(name), name);
    }
  }

  private synchronized Http.Reply appendNow(Http.Call call, Topic topic, String name)
      throws IOException {
    if (busy) {
      return Http.Reply.empty(503);
    }
    List<byte[]> records = new ArrayList<>();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    long total = 0;
    boolean tooLarge = false;
    while (body.hasRemaining()) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      total += content.length;
      tooLarge |= content.length > RECORD_BYTES;
      records.add(content);
    }
    largestAppend = Math.max(largestAppend, total);
    if (tooLarge || total > CALL_BYTES) {
      refusedForSize++;
      Record.line("store: append to %s of %d records, %d bytes refused (at most %d a call)", name,
          records.size(), total, CALL_BYTES);
      return Http.Reply.empty(400);
    }
    Producer producer = null;
    if (call.query().containsKey("producer")) {
      producer =
          topic.producers.computeIfAbsent(call.query().get("producer"), each -> new Producer());
      long epoch = call.number("epoch", 0);
      long sequence = call.number("seq", 0);
      if (epoch < producer.epoch) {
        return refusal("fenced", producer);
      }
      if (epoch > producer.epoch) {
        producer.epoch = epoch;
        producer.answers.clear();
      } else if (producer.answers.containsKey(sequence)) {
        long[] answer = producer.answers.get(sequence);
        return position(answer[0], answer[1]);
      } else if (sequence != producer.sequence + 1) {
        return refusal("seq", producer);
      }
      producer.sequence = sequence;
    }
    long offset = topic.records.size();
    records.forEach(content -> add(topic, content));
    if (producer != null) {
      producer.answers.put(producer.sequence, new long[] {offset, topic.records.size()});
      while (producer.answers.size() > KEPT_APPENDS) {
        producer.answers.remove(producer.answers.keySet().iterator().next());
      }
    }
    notifyAll();
    return position(offset, topic.records.size());
  }

  private static Http.Reply position(long offset, long end) throws IOException {
    return Http.Reply.json(200, Http.JSON.createObjectNode().put("offset", offset).put("end", end));
  }

  private static Http.Reply refusal(String reason, Producer producer) throws IOException {
    return Http.Reply.json(
        409,
        Http.JSON.createObjectNode().put("reason", reason).put("seq", producer.sequence + 1));
  }

  private Http.Reply read(Http.Call call) throws Exception {
    long deadline = System.currentTimeMillis() + Math.min(30_000, call.number("waitMs", 0));
    long from = call.number("from", 0);
    long bytes = call.number("maxKb", 1024) * 1024;
    Thread.sleep(2);
    synchronized (this) {
      Topic topic = topic(call.query().get("topic"));
      while (!busy && from >= topic.records.size() && System.currentTimeMillis() < deadline) {
        wait(Math.max(1, deadline - System.currentTimeMillis()));
      }
      if (busy) {
        return Http.Reply.empty(503);
      }
      if (from < topic.first) {
        return Http.Reply.json(410, Http.JSON.createObjectNode().put("first", topic.first));
      }
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.write(
          ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(topic.first).array());
      for (long at = from; at < topic.records.size(); at++) {
        byte[] content = topic.records.get((int) at);
        if (at > from && out.size() + content.length > bytes) {
          break;
        }
        out.write(ByteBuffer.allocate(4).putInt(content.length).array());
        out.write(content);
      }
      return new Http.Reply(200, out.toByteArray());
    }
  }

  private Http.Reply newest(Http.Call call) throws Exception {
    Thread.sleep(2);
    synchronized (this) {
      if (busy) {
        return Http.Reply.empty(503);
      }
      Topic topic = topic(call.query().get("topic"));
      Map<String, Newest> rest =
          topic.newest.tailMap(call.query().getOrDefault("after", ""), false);
      ObjectNode node = Http.JSON.createObjectNode();
      ArrayNode items = node.putArray("items");
      long bytes = 0;
      for (Map.Entry<String, Newest> entry : rest.entrySet()) {
        byte[] value = valueOf(entry.getValue().content());
        if (items.size() == 500 || (bytes > 0 && bytes + value.length > 1_000_000)) {
          break;
        }
        bytes += value.length;
        items
            .addObject()
            .put("key", entry.getKey())
            .put("value", Base64.getEncoder().encodeToString(value))
            .put("offset", entry.getValue().offset());
      }
      node.put("more", rest.size() > items.size());
      node.put("end", topic.records.size());
      return Http.Reply.json(200, node);
    }
  }

  private synchronized Http.Reply join(Http.Call call) throws IOException {
    if (busy) {
      return Http.Reply.empty(503);
    }
    JsonNode body = call.json();
    Group group = groups.computeIfAbsent(body.path("group").asText(), each -> new Group());
    String member = body.path("member").asText();
    long now = System.currentTimeMillis();
    boolean changed = group.expiry.values().removeIf(at -> at < now);
    changed |= !group.expiry.containsKey(member);
    group.expiry.put(member, now + body.path("ttlMs").asLong());
    group.generation += changed ? 1 : 0;
    ObjectNode node = Http.JSON.createObjectNode().put("generation", group.generation);
    ArrayNode parts = node.putArray("parts");
    // There is one partition; the member that has been in the group longest holds it.
    boolean holds = group.expiry.keySet().iterator().next().equals(member);
    if (holds && body.path("generation").asLong() == group.generation) {
      parts.addArray().add(body.path("topics").path(0).asText()).add(0).add(0);
    }
    return Http.Reply.json(200, node);
  }

  private synchronized Http.Reply leave(Http.Call call) throws IOException {
    if (busy) {
      return Http.Reply.empty(503);
    }
    JsonNode body = call.json();
    Group group = groups.computeIfAbsent(body.path("group").asText(), each -> new Group());
    if (group.expiry.remove(body.path("member").asText()) != null) {
      group.generation++;
    }
    return Http.Reply.json(200, Http.JSON.createObjectNode());
  }
}
