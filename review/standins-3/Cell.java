import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small cell: the store, the workers and the members, with calls of clients and the operator. */
final class Cell implements AutoCloseable {

  static {
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    System.setProperty("sun.net.httpserver.nodelay", "true");
  }

  private static final Pattern TERM_BEGUN =
      Pattern.compile("\"event\":\"term begun\".*?\"term\":(\\d+)");
  private static final double LONGEST_SECONDS = 115;
  static final String HOST = "jobs.example";
  static final String PREFIX = "/jobs/";

  final Recorder recorder = new Recorder();
  final Store store;
  final List<Worker> workers = new ArrayList<>();
  final List<Member> members = new ArrayList<>();
  final Path directory;
  final Path repository;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final Path record;
  private int lastJob;

  Cell(Path repository, Path record) throws IOException {
    this.repository = repository;
    this.record = record;
    directory = Files.createTempDirectory("review-cell");
    store = new Store(Hosts.host(100));
  }

  void addWorkers(int count, int cpu) throws IOException {
    for (int index = 1; index <= count; index++) {
      addWorker("w" + index, 100 + index, "zone-" + (1 + (index - 1) % 3), cpu);
    }
  }

  Worker addWorker(String id, int host, String zone, int cpu) throws IOException {
    Worker worker = new Worker(id, Hosts.host(host), zone, cpu, store, recorder);
    workers.add(worker);
    return worker;
  }

  /** Writes the configuration: one queue, with advice if decideMs is at least 0. */
  void configure(int version, int decideMs) {
    configure(version, decideMs, "svc");
  }

  /** The same, with the service whose workers run the tasks of the queue. */
  void configure(int version, int decideMs, String service) {
    ObjectNode node = Worker.MAPPER.createObjectNode().put("version", version);
    ObjectNode route = node.putArray("routes").addObject();
    route.put("name", "jobs").put("host", HOST).put("prefix", PREFIX).put("service", service);
    route.put("priority", 1).put("attempts", 4).put("stretch", 2.0).put("sloMs", 1000);
    if (decideMs >= 0) {
      route.putObject("advice").put("decideMs", decideMs).put("eachMs", 0.1).put("validMs", 1500);
    }
    node.putArray("services").addObject().put("name", service).put("admissionCheck", false);
    node.putObject("limits").put("maxBodyBytes", 262_144);
    store.put("keyed.op", "config", node.toString());
    recorder.write("operator: configuration %d, the queue is run by %s", version, service);
  }

  Member addMember(int number, String advice) throws IOException {
    return addMember(number, Hosts.host(number), advice, Map.of());
  }

  Member addMember(int number, String peerName, String advice, Map<String, String> environment)
      throws IOException {
    Member member =
        new Member(
            number,
            Hosts.host(number),
            peerName,
            repository,
            directory,
            store.address(),
            advice,
            environment);
    members.add(member);
    member.start();
    return member;
  }

  void awaitReady() throws Exception {
    for (Member member : members) {
      awaitReady(member);
    }
  }

  void awaitReady(Member member) throws Exception {
    double deadline = recorder.now() + 30;
    while (recorder.now() < deadline) {
      try {
        HttpResponse<String> response =
            client.send(
                HttpRequest.newBuilder(URI.create("http://" + member.ready() + "/api/ready"))
                    .timeout(Duration.ofSeconds(1))
                    .build(),
                HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // Not listening yet.
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("member " + member.number + " is not ready");
  }

  /** Returns the number of the newest term that a log tells of. */
  long newestTerm() throws IOException {
    long newest = -1;
    for (Member member : members) {
      Matcher matcher = TERM_BEGUN.matcher(member.logText());
      while (matcher.find()) {
        newest = Math.max(newest, Long.parseLong(matcher.group(1)));
      }
    }
    return newest;
  }

  /** Returns the member that began the newest term, once there is one. */
  Member leader() throws Exception {
    double deadline = recorder.now() + 20;
    while (recorder.now() < deadline) {
      Member newest = null;
      long term = -1;
      for (Member member : members) {
        if (!member.isAlive()) {
          continue;
        }
        Matcher matcher = TERM_BEGUN.matcher(member.logText());
        while (matcher.find()) {
          if (Long.parseLong(matcher.group(1)) > term) {
            term = Long.parseLong(matcher.group(1));
            newest = member;
          }
        }
      }
      if (newest != null) {
        return newest;
      }
      Thread.sleep(50);
    }
    throw new IllegalStateException("no member leads");
  }

  /** An answer to a client; the status is 0 if there was none. */
  record Answer(int status, String body) {}

  Answer call(Member member, String method, String path, String body) {
    try {
      HttpResponse<String> response =
          client.send(
              HttpRequest.newBuilder(URI.create("http://" + member.front() + path))
                  .timeout(Duration.ofSeconds(3))
                  .header("Hyssopport-Deadline-Ms", "3000")
                  .header("Host", HOST)
                  .header("Content-Type", "application/json")
                  .method(
                      method,
                      body == null
                          ? HttpRequest.BodyPublishers.noBody()
                          : HttpRequest.BodyPublishers.ofString(body))
                  .build(),
              HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, e.toString());
    }
  }

  synchronized String newJob() {
    lastJob++;
    return String.format("%016x", 0x5c0e7a2100000000L + lastJob);
  }

  static ObjectNode step(int count, int cpu, int estMs) {
    ObjectNode step = Worker.MAPPER.createObjectNode();
    return step.put("count", count).put("cpu", cpu).put("memMb", 256).put("estMs", estMs);
  }

  static String job(int workMs, ObjectNode... steps) {
    ObjectNode body = Worker.MAPPER.createObjectNode().put("spec", "work=" + workMs);
    ArrayNode list = body.putArray("steps");
    for (ObjectNode step : steps) {
      list.add(step);
    }
    return body.toString();
  }

  /** Hands a job in, at the next member after each attempt that is not accepted. */
  boolean submit(String id, String body, int firstMember) {
    for (int attempt = 0; attempt < 5; attempt++) {
      Member member = members.get((firstMember + attempt) % members.size());
      Answer answer = call(member, "POST", PREFIX + id, body);
      recorder.write("POST %s at edge-%d -> %d", id, member.number, answer.status());
      if (answer.status() == 200) {
        recorder.accepted.put(id, recorder.now());
        return true;
      }
      sleep(0.2);
    }
    return false;
  }

  String state(String id, Member member) {
    Answer answer = call(member, "GET", PREFIX + id, null);
    return answer.status() == 200
        ? answer.body().replaceAll(".*\"state\":\"(\\w+)\".*", "$1")
        : String.valueOf(answer.status());
  }

  void sleep(double seconds) {
    try {
      Thread.sleep((long) (1000 * Math.max(0, seconds)));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void sleepUntil(double time) {
    sleep(time - recorder.now());
  }

  @Override
  public void close() throws IOException {
    members.forEach(Member::close);
    workers.forEach(Worker::close);
    store.close();
    recorder.save(record);
    try (Stream<Path> files = Files.walk(directory)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }

  /** A script; returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
  interface Script {
    int run(Cell cell, boolean trouble) throws Exception;
  }

  /** Runs a script in a new cell and ends the process with its result. */
  static void play(String[] arguments, Script script) {
    int result = 2;
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Cell cell = new Cell(Path.of(arguments[0]), Path.of(arguments[1]))) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> cell.members.forEach(Member::close)));
      giveUpLater(cell);
      try {
        result = script.run(cell, trouble);
        for (Member member : cell.members) {
          for (String line : member.termLines()) {
            cell.recorder.write("log of edge-%d: %s", member.number, line);
          }
        }
      } catch (Exception e) {
        cell.recorder.write("the case could not run: %s", e);
        e.printStackTrace();
      }
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.out.flush();
    Runtime.getRuntime().halt(result);
  }

  /** Ends the script, and the processes that it started, before its time is over. */
  private static void giveUpLater(Cell cell) {
    Thread watch =
        new Thread(
            () -> {
              cell.sleep(LONGEST_SECONDS);
              System.err.println("the case could not run within " + LONGEST_SECONDS + " s");
              cell.members.forEach(Member::close);
              Runtime.getRuntime().halt(2);
            });
    watch.setDaemon(true);
    watch.start();
  }

  /** Ends the script: 1 if the rule was broken, 0 if it held. */
  static int verdict(Cell cell, List<String> breaks, String rule) {
    for (String each : breaks) {
      cell.recorder.write("BROKEN %s: %s", rule, each);
      System.out.println("broken " + rule + ": " + each);
    }
    if (breaks.isEmpty()) {
      cell.recorder.write("HELD %s", rule);
      System.out.println("held " + rule);
    }
    return breaks.isEmpty() ? 0 : 1;
  }
}
