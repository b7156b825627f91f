import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
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
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store: topics of one partition, the newest record of each key, and groups. */
final class Store implements AutoCloseable {

  private static final int PAGE_RECORDS = 500;
  private static final int PAGE_BYTES = 1 << 20;
  private static final int REMEMBERED_APPENDS = 5;

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Topic> topics = new HashMap<>();
  private final Map<String, Group> groups = new HashMap<>();

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Long> newest = new TreeMap<>();
    private final Map<String, Producer> producers = new HashMap<>();
  }

  private static final class Producer {
    private long epoch = -1;
    private long lastSequence = -1;
    private final LinkedHashMap<Long, Long> offsets = new LinkedHashMap<>();
  }

  /** The members of a group by the time of their last join, and who has the one partition. */
  private static final class Group {
    private final LinkedHashMap<String, Long> deadlines = new LinkedHashMap<>();
    private long generation = 1;
    private String owner = "";
  }

  /** A status and a body; the body of an answer that is no JSON is raw. */
  private record Reply(int status, byte[] body) {
    static Reply json(int status, ObjectNode node) {
      return new Reply(status, node.toString().getBytes(StandardCharsets.UTF_8));
    }
  }

  private interface Handler {
    Reply answer(Map<String, String> query, byte[] body) throws IOException, InterruptedException;
  }

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 256);
    server.setExecutor(threads);
    server.createContext("/api/log-append", exchange -> handle(exchange, this::append));
    server.createContext("/api/log-read", exchange -> handle(exchange, this::read));
    server.createContext("/api/log-newest", exchange -> handle(exchange, this::newest));
    server.createContext("/api/log-join", exchange -> handle(exchange, this::join));
    server.createContext("/api/log-leave", exchange -> handle(exchange, this::leave));
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Map<String, String> query = new HashMap<>();
      String raw = exchange.getRequestURI().getRawQuery();
      for (String pair : raw == null ? new String[0] : raw.split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
      Reply reply = handler.answer(query, body);
      exchange.sendResponseHeaders(reply.status, reply.body.length == 0 ? -1 : reply.body.length);
      exchange.getResponseBody().write(reply.body);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static ObjectNode node() {
    return Worker.MAPPER.createObjectNode();
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
      topic.newest.put(key, topic.records.size() - 1L);
    }
  }

  /** Appends a record, as the operator and the workers do; an empty value drops the key. */
  synchronized void put(String topicName, String key, String value) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    byte[] valueBytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + valueBytes.length);
    content.put((byte) keyBytes.length).put(keyBytes).put(valueBytes);
    add(topic(topicName), content.array());
    notifyAll();
  }

  private synchronized Reply append(Map<String, String> query, byte[] body) {
    Topic topic = topic(query.get("topic"));
    String name = query.get("producer");
    long offset = topic.records.size();
    if (name != null) {
      Producer producer = topic.producers.computeIfAbsent(name, each -> new Producer());
      long epoch = Long.parseLong(query.get("epoch"));
      long sequence = Long.parseLong(query.get("seq"));
      if (epoch < producer.epoch) {
        return Reply.json(409, node().put("reason", "fenced"));
      }
      if (epoch > producer.epoch) {
        producer.epoch = epoch;
        producer.offsets.clear();
      } else if (producer.offsets.containsKey(sequence)) {
        return appended(topic, producer.offsets.get(sequence));
      } else if (body.length > 0 && sequence != producer.lastSequence + 1) {
        return Reply.json(
            409, node().put("reason", "seq").put("expected", producer.lastSequence + 1));
      }
      producer.lastSequence = sequence;
      producer.offsets.put(sequence, offset);
      if (producer.offsets.size() > REMEMBERED_APPENDS) {
        producer.offsets.remove(producer.offsets.keySet().iterator().next());
      }
    }
    ByteBuffer records = ByteBuffer.wrap(body);
    while (records.hasRemaining()) {
      byte[] content = new byte[records.getInt()];
      records.get(content);
      add(topic, content);
    }
    notifyAll();
    return appended(topic, offset);
  }

  private static Reply appended(Topic topic, long offset) {
    return Reply.json(200, node().put("offset", offset).put("end", topic.records.size()));
  }

  private synchronized Reply read(Map<String, String> query, byte[] body)
      throws InterruptedException {
    Topic topic = topic(query.get("topic"));
    int from = Integer.parseInt(query.get("from"));
    long deadline =
        System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (from >= topic.records.size() && System.nanoTime() < deadline) {
      wait(Math.max(1, (deadline - System.nanoTime()) / 1_000_000));
    }
    int to = from;
    int bytes = 0;
    while (to < topic.records.size() && bytes < PAGE_BYTES) {
      bytes += Integer.BYTES + topic.records.get(to).length;
      to++;
    }
    ByteBuffer page = ByteBuffer.allocate(2 * Long.BYTES + bytes);
    page.putLong(topic.records.size()).putLong(0);
    for (int index = from; index < to; index++) {
      page.putInt(topic.records.get(index).length).put(topic.records.get(index));
    }
    return new Reply(200, page.array());
  }

  private synchronized Reply newest(Map<String, String> query, byte[] body) {
    Topic topic = topic(query.get("topic"));
    ObjectNode reply = node();
    ArrayNode items = reply.putArray("items");
    boolean more = false;
    for (Map.Entry<String, Long> entry :
        topic.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
      if (items.size() == PAGE_RECORDS) {
        more = true;
        break;
      }
      byte[] content = topic.records.get(entry.getValue().intValue());
      byte[] value =
          Arrays.copyOfRange(content, 1 + Byte.toUnsignedInt(content[0]), content.length);
      items
          .addObject()
          .put("key", entry.getKey())
          .put("value", Base64.getEncoder().encodeToString(value))
          .put("offset", entry.getValue());
    }
    return Reply.json(200, reply.put("more", more).put("end", topic.records.size()));
  }

  private void expire(Group group) {
    long now = System.nanoTime();
    if (group.deadlines.values().removeIf(deadline -> deadline < now)) {
      group.generation++;
    }
    deal(group);
  }

  private static void deal(Group group) {
    if (!group.deadlines.containsKey(group.owner)) {
      group.owner = group.deadlines.isEmpty() ? "" : group.deadlines.keySet().iterator().next();
    }
  }

  private synchronized Reply join(Map<String, String> query, byte[] body) throws IOException {
    JsonNode call = Worker.MAPPER.readTree(body);
    Group group = groups.computeIfAbsent(call.path("group").asText(), each -> new Group());
    String member = call.path("member").asText();
    expire(group);
    long deadline = System.nanoTime() + 1_000_000 * call.path("ttlMs").asLong();
    if (group.deadlines.put(member, deadline) == null) {
      group.generation++;
    }
    deal(group);
    ObjectNode reply = node().put("generation", group.generation);
    ArrayNode parts = reply.putArray("parts");
    if (call.path("generation").asLong() == group.generation && group.owner.equals(member)) {
      parts.addArray().add(call.path("topics").path(0).asText()).add(0).add(0);
    }
    return Reply.json(200, reply);
  }

  private synchronized Reply leave(Map<String, String> query, byte[] body) throws IOException {
    JsonNode call = Worker.MAPPER.readTree(body);
    Group group = groups.computeIfAbsent(call.path("group").asText(), each -> new Group());
    if (group.deadlines.remove(call.path("member").asText()) != null) {
      group.generation++;
    }
    deal(group);
    return Reply.json(200, node());
  }

  /** Reassigns all partitions at once, each to the member that joined next after its owner. */
  synchronized void reassign() {
    for (Group group : groups.values()) {
      expire(group);
      List<String> members = List.copyOf(group.deadlines.keySet());
      if (!members.isEmpty()) {
        group.owner = members.get((members.indexOf(group.owner) + 1) % members.size());
        group.generation++;
      }
    }
  }

  /** Returns the members that have a partition of a group. */
  synchronized List<String> owners() {
    return groups.values().stream().map(group -> group.owner).toList();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
