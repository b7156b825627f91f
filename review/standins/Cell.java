import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The members of a cell: processes of the project, started with the command of the deploy file. */
final class Cell {

  /** The port of the deploy file's metrics address, which each member binds at its own address. */
  private static final int METRICS_PORT = 9464;

  private static final long RESTART_MILLIS = 500;

  final class Member {
    final String ip;
    final String name;
    final Path settings;
    private Process process;
    private boolean ended;

    private Member(String ip, String name, Path settings) {
      this.ip = ip;
      this.name = name;
      this.settings = settings;
    }

    String front() {
      return ip + ":" + frontPort;
    }

    String peer() {
      return ip + ":" + peerPort;
    }

    synchronized void start() throws IOException {
      if (ended) {
        return;
      }
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("HYSSOPPORT_NODE_FILE", settings.toString());
      builder.directory(root.toFile());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      Record.line("%s: started, process %d", name, process.pid());
    }

    /** Sends a signal, such as KILL, STOP or CONT, to the process. */
    synchronized void signal(String signal) throws IOException, InterruptedException {
      Record.say("%s: signal %s", name, signal);
      new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    /** Starts the process again after a short delay, as the platform does. */
    void restartLater() {
      Thread thread =
          new Thread(
              () -> {
                try {
                  process.waitFor();
                  Thread.sleep(RESTART_MILLIS);
                  start();
                } catch (IOException | InterruptedException e) {
                  Record.line("%s: not restarted: %s", name, e);
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    synchronized void end() {
      ended = true;
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  private final Path root;
  private final Path folder;
  private final List<String> command;
  private final Store store;
  private int frontPort;
  private int readyPort;
  private int peerPort;
  final List<Member> members = new ArrayList<>();

  private Cell(Path root, Path folder, List<String> command, Store store) {
    this.root = root;
    this.folder = folder;
    this.command = command;
    this.store = store;
  }

  /** Returns a network 127.x.y at which the metrics port is free at the first addresses. */
  static String freeNetwork(int addresses) throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      String network =
          "127." + (20 + (int) (Math.random() * 200)) + "." + (1 + (int) (Math.random() * 250));
      boolean free = true;
      for (int host = 1; host <= addresses && free; host++) {
        free = isFree(network + "." + host, METRICS_PORT);
      }
      if (free) {
        return network;
      }
    }
    throw new IOException("no network with free addresses");
  }

  private static boolean isFree(String ip, int port) {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(ip, port));
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private static int freePort(String network, int addresses, int span) throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int port = 20_000 + (int) (Math.random() * 10_000);
      boolean free = true;
      for (int host = 1; host <= addresses && free; host++) {
        for (int offset = 0; offset < span && free; offset++) {
          free = isFree(network + "." + host, port + offset);
        }
      }
      if (free) {
        return port;
      }
    }
    throw new IOException("no free port");
  }

  /** Starts the members, one in each zone. */
  static Cell start(Path root, Path folder, String network, int count, Store store)
      throws IOException {
    Cell cell = new Cell(root, folder, deployCommand(root), store);
    Runtime.getRuntime().addShutdownHook(new Thread(cell::end));
    cell.frontPort = freePort(network, count, 1);
    cell.readyPort = freePort(network, count, 1);
    cell.peerPort = freePort(network, count, 16);
    for (int number = 1; number <= count; number++) {
      Member member = cell.addMember(network, number, count);
      member.start();
    }
    return cell;
  }

  /** Returns the words of run in the deploy file. */
  private static List<String> deployCommand(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(run.split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run");
  }

  private Member addMember(String network, int number, int count) throws IOException {
    String ip = network + "." + number;
    String zone = "zone-" + number;
    ObjectNode node = Http.JSON.createObjectNode();
    node.put("node", "edge-" + zone + "-1").put("role", "member").put("machineClass", "edge");
    node.putArray("serves").add("edge");
    node.put("ip", ip).put("zone", zone).put("region", "region");
    ObjectNode zones = node.putObject("zones");
    for (int each = 1; each <= count; each++) {
      zones.put("zone-" + each, "region");
    }
    node.putObject("listen")
        .put("front", ip + ":" + frontPort)
        .put("ready", ip + ":" + readyPort);
    node.putArray("internalPorts").add(peerPort).add(peerPort + 15);
    node.putArray("seeds");
    node.put("bootstrap", true).put("inTolerance", false);
    node.putObject("limits")
        .put("cpuShare", 0.75)
        .put("cores", 1)
        .put("memoryMb", 430)
        .put("maxFds", 4100)
        .put("linkMbps", 1000.0)
        .put("diskMb", 0);
    node.putNull("dataDir");
    node.put("discovery", "platform").put("entry", "vip").put("heartbeatMs", 1500);
    node.putObject("bounds")
        .put("stableWindowMs", 3000)
        .put("ackMs", 4000)
        .put("drainMs", 2000)
        .put("graceS", 6)
        .put("applyMs", 2000)
        .put("recoverS", 12)
        .put("maxHoldMs", 10000)
        .put("stopMs", 400)
        .put("gangMs", 3000)
        .put("cancel_ms", 3000)
        .put("visible_ms", 3000)
        .put("finish_s", 14)
        .put("status_s", 120)
        .put("leaseMs", 3000);
    node.put("orders", "call");
    node.putObject("platform")
        .put("addr", store.address())
        .put("form", "log")
        .put("writesPerS", 800)
        .put("readsPerS", 2000)
        .put("parts", 32)
        .put("appendMs", 2.0)
        .put("partBwS", 20.0)
        .put("readBwS", 80.0)
        .put("recordBytes", Store.RECORD_BYTES)
        .put("callBytes", Store.CALL_BYTES)
        .put("keep_s", 300)
        .put("partMb", 200)
        .put("ttlMinMs", 1000);
    Path file = folder.resolve("boot-" + number + ".json");
    Files.write(file, Http.JSON.writeValueAsBytes(node));
    Member member = new Member(ip, "edge-" + zone + "-1", file);
    members.add(member);
    return member;
  }

  String readyAddress(Member member) {
    return member.ip + ":" + readyPort;
  }

  /** Returns the member that last became the scheduler, as the store's record names it. */
  Member leader() {
    byte[] value = store.value("keyed.scheduler", "scheduler");
    String address = value == null ? "" : new String(value, StandardCharsets.UTF_8);
    return members.stream().filter(each -> each.peer().equals(address)).findFirst().orElse(null);
  }

  void end() {
    members.forEach(Member::end);
  }
}
