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

/**
 * Stand-in for the platform's metadata store: a log with keyed topics, fenced producers and groups.
 *
 * <p>Of each group, partition 0 is dealt to the member that has been present longest.
 */
final class Store implements AutoCloseable {

  private static final long ANSWER_MILLIS = 4;
  private static final int PAGE_ITEMS = 500;

  private final Http.Server server;
  private final String host;
  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();

  private static final class Topic {
    final List<byte[]> records = new ArrayList<>();
    final TreeMap<String, Integer> newest = new TreeMap<>();
    final Map<String, Producer> producers = new HashMap<>();
  }

  private static final class Producer {
    long epoch = -1;
    long sequence;
    final Map<Long, Long> offsets = new LinkedHashMap<>();
  }

  private static final class Group {
    final LinkedHashMap<String, Long> deadlines = new LinkedHashMap<>();
    long generation = 1;
  }

  Store(String host) throws IOException {
    this.host = host;
    server = new Http.Server(host, 0, this::answer);
  }

  String address() {
    return host + ":" + server.port();
  }

  private Http.Reply answer(Http.Call call) throws Exception {
    Thread.sleep(ANSWER_MILLIS);
    return switch (call.path()) {
      case "/api/log-append" -> append(call);
      case "/api/log-read" -> read(call);
      case "/api/log-newest" -> newest(call);
      case "/api/log-join" -> join(call);
      case "/api/log-leave" -> leave(call);
      default -> Http.Reply.empty(404);
    };
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, each -> new Topic());
  }

  /** Writes a keyed record, as the operator and the workers do; an empty value drops the key. */
  synchronized void put(String topicName, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    add(topic(topicName), content.array());
    notifyAll();
  }

  private static void add(Topic topic, byte[] content) {
    int keyLength = Byte.toUnsignedInt(content[0]);
    String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
    topic.records.add(content);
    if (content.length == 1 + keyLength) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, topic.records.size() - 1);
    }
  }

  private synchronized Http.Reply append(Http.Call call) {
    Topic topic = topic(call.query().get("topic"));
    String name = call.query().get("producer");
    if (name != null) {
      Producer producer = topic.producers.computeIfAbsent(name, each -> new Producer());
      long epoch = call.number("epoch");
      long sequence = call.number("seq");
      if (epoch < producer.epoch) {
        return Http.Reply.json(409, Json.map("reason", "fenced"));
      }
      if (epoch > producer.epoch) {
        producer.epoch = epoch;
        producer.offsets.clear();
      } else if (call.body().length > 0) {
        if (producer.offsets.containsKey(sequence)) {
          return appended(topic, producer.offsets.get(sequence));
        }
        if (sequence != producer.sequence + 1) {
          return Http.Reply.json(
              409, Json.map("reason", "seq", "expected", producer.sequence + 1));
        }
      }
      if (call.body().length > 0) {
        producer.offsets.put(sequence, (long) topic.records.size());
      }
      producer.sequence = sequence;
    }
    long offset = topic.records.size();
    ByteBuffer body = ByteBuffer.wrap(call.body());
    while (body.hasRemaining()) {
      byte[] content = new byte[body.getInt()];
      body.get(content);
      add(topic, content);
    }
    notifyAll();
    return appended(topic, offset);
  }

  private static Http.Reply appended(Topic topic, long offset) {
    return Http.Reply.json(200, Json.map("offset", offset, "end", topic.records.size()));
  }

  private synchronized Http.Reply read(Http.Call call) throws InterruptedException {
    Topic topic = topic(call.query().get("topic"));
    int from = (int) call.number("from");
    long until = System.nanoTime() + call.number("waitMs") * 1_000_000;
    while (from >= topic.records.size() && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    long maximumBytes = 1024 * Long.parseLong(call.query().getOrDefault("maxKb", "1024"));
    List<byte[]> page = new ArrayList<>();
    int size = 0;
    for (int index = from; index < topic.records.size(); index++) {
      byte[] content = topic.records.get(index);
      if (!page.isEmpty() && size + content.length + 4 > maximumBytes) {
        break;
      }
      page.add(content);
      size += content.length + 4;
    }
    ByteBuffer bytes = ByteBuffer.allocate(16 + size);
    bytes.putLong(topic.records.size()).putLong(0);
    page.forEach(content -> bytes.putInt(content.length).put(content));
    return new Http.Reply(200, bytes.array());
  }

  private synchronized Http.Reply newest(Http.Call call) {
    Topic topic = topic(call.query().get("topic"));
    Map<String, Integer> rest =
        topic.newest.tailMap(call.query().getOrDefault("after", ""), false);
    List<Object> items = new ArrayList<>();
    for (Map.Entry<String, Integer> entry : rest.entrySet()) {
      if (items.size() == PAGE_ITEMS) {
        break;
      }
      byte[] content = topic.records.get(entry.getValue());
      byte[] value =
          Arrays.copyOfRange(content, 1 + Byte.toUnsignedInt(content[0]), content.length);
      items.add(
          Json.map(
              "key", entry.getKey(),
              "value", Base64.getEncoder().encodeToString(value),
              "offset", entry.getValue()));
    }
    return Http.Reply.json(
        200,
        Json.map("items", items, "more", rest.size() > items.size(), "end", topic.records.size()));
  }

  private synchronized Http.Reply join(Http.Call call) {
    Map<String, Object> body = call.json();
    Group group = groups.computeIfAbsent(Json.string(body, "group"), each -> new Group());
    String member = Json.string(body, "member");
    long now = System.nanoTime() / 1_000_000;
    boolean changed = group.deadlines.values().removeIf(deadline -> deadline < now);
    changed |= !group.deadlines.containsKey(member);
    group.deadlines.put(member, now + Json.number(body, "ttlMs"));
    group.generation += changed ? 1 : 0;
    List<Object> parts = new ArrayList<>();
    boolean owner = group.deadlines.keySet().iterator().next().equals(member);
    if (owner && Json.number(body, "generation") == group.generation) {
      parts.add(List.of(Json.list(body, "topics").get(0), 0, 0));
    }
    return Http.Reply.json(200, Json.map("generation", group.generation, "parts", parts));
  }

  private synchronized Http.Reply leave(Http.Call call) {
    Map<String, Object> body = call.json();
    Group group = groups.computeIfAbsent(Json.string(body, "group"), each -> new Group());
    if (group.deadlines.remove(Json.string(body, "member")) != null) {
      group.generation++;
    }
    return Http.Reply.json(200, Json.map());
  }

  @Override
  public void close() {
    server.close();
  }
}
