import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A member of the cell, run as a separate process by the command of the deploy file. */
final class Member implements AutoCloseable {

  static final int FRONT_PORT = 18_161;
  static final int READY_PORT = 18_167;
  static final int PEER_PORT = 17_720;

  final int number;
  final String host;
  private final Path directory;
  private final Path repository;
  private final String store;
  private final String advice;
  private final Map<String, String> extraEnvironment;
  private final String peerName;
  private Process process;
  private int starts;

  Member(
      int number,
      String host,
      String peerName,
      Path repository,
      Path directory,
      String store,
      String advice,
      Map<String, String> extraEnvironment) {
    this.number = number;
    this.host = host;
    this.peerName = peerName;
    this.repository = repository;
    this.directory = directory;
    this.store = store;
    this.advice = advice;
    this.extraEnvironment = extraEnvironment;
  }

  void start() throws IOException {
    starts++;
    Path settings = directory.resolve("member-" + number + ".json");
    Files.writeString(settings, settings().toString());
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(repository.toFile());
    builder.environment().put("HYSSOPPORT_NODE_FILE", settings.toString());
    builder.environment().putAll(extraEnvironment);
    builder.redirectErrorStream(true).redirectOutput(log().toFile());
    process = builder.start();
  }

  private Path log() {
    return directory.resolve("member-" + number + "-" + starts + ".txt");
  }

  String logText() throws IOException {
    return Files.readString(log());
  }

  /** Returns the lines of all logs of this member that tell when it led. */
  List<String> termLines() throws IOException {
    List<String> lines = new ArrayList<>();
    for (int start = 1; start <= starts; start++) {
      for (String line : Files.readAllLines(directory.resolve("member-" + number + "-" + start + ".txt"))) {
        if (line.contains("\"event\":\"term begun\"") || line.contains("\"event\":\"term ended\"")) {
          lines.add(line);
        }
      }
    }
    return lines;
  }

  private List<String> command() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run = \"([^\"]*)\"")
            .matcher(Files.readString(repository.resolve("deploy/system.toml")));
    if (!matcher.find()) {
      throw new IOException("deploy/system.toml states no command");
    }
    return new ArrayList<>(List.of(matcher.group(1).split(" ")));
  }

  private ObjectNode settings() {
    ObjectNode node = Worker.MAPPER.createObjectNode();
    node.put("node", "edge-" + number).put("role", "member").put("machineClass", "edge");
    node.putArray("serves").add("edge");
    node.put("ip", peerName).put("zone", zone()).put("region", "region");
    node.putObject("zones").put("zone-1", "region").put("zone-2", "region").put("zone-3", "region");
    node.putObject("listen")
        .put("front", host + ":" + FRONT_PORT)
        .put("ready", host + ":" + READY_PORT);
    node.putArray("internalPorts").add(PEER_PORT).add(PEER_PORT + 15);
    node.putArray("seeds");
    node.put("bootstrap", true);
    node.putObject("limits")
        .put("cpuShare", 0.75)
        .put("cores", 1)
        .put("memoryMb", 430)
        .put("maxFds", 4100)
        .put("linkMbps", 1000.0);
    node.put("discovery", "platform").put("entry", "vip").put("heartbeatMs", 1500);
    node.putObject("bounds")
        .put("stableWindowMs", 3000)
        .put("ackMs", 4000)
        .put("drainMs", 2000)
        .put("graceS", 6)
        .put("applyMs", 2000)
        .put("maxHoldMs", 10_000)
        .put("stopMs", 400)
        .put("gangMs", 3000)
        .put("cancel_ms", 3000)
        .put("visible_ms", 3000)
        .put("finish_s", 14)
        .put("status_s", 120);
    node.put("orders", "call").put("advice", advice);
    node.putObject("platform")
        .put("addr", store)
        .put("form", "log")
        .put("writesPerS", 800)
        .put("readsPerS", 2000)
        .put("ttlMinMs", 1000);
    return node;
  }

  String zone() {
    return "zone-" + (1 + (number - 1) % 3);
  }

  String front() {
    return host + ":" + FRONT_PORT;
  }

  String ready() {
    return host + ":" + READY_PORT;
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  void awaitEnd() throws InterruptedException {
    process.waitFor();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
