package org.hyssopport.testkit.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs a member of a cell as a separate process with its own loopback address.
 *
 * @since 0.2
 */
public final class MemberProcess implements AutoCloseable {

  private static final int CALLER_PORT = 18_161;
  private static final int READINESS_PORT = 18_167;
  private static final int PEER_PORT = 17_720;

  private final String ip;
  private final Path log;
  private final Process process;

  private MemberProcess(String ip, Path log, Process process) {
    this.ip = ip;
    this.log = log;
    this.process = process;
  }

  /**
   * Starts a member without waiting until it is ready.
   *
   * @param directory the directory for the member's settings file and log file
   * @param number the member's number, which makes its name and its address unique
   * @param store the host and port of the store
   * @param advice the host and port of the advice service
   * @return the started member
   * @throws IOException if the settings can't be written or the process can't be started
   */
  public static MemberProcess start(Path directory, int number, String store, String advice)
      throws IOException {
    String ip = LoopbackHosts.host(number);
    Path settings = directory.resolve("member-" + number + ".json");
    Files.writeString(settings, settingsJson(ip, number, store, advice).toString());
    Path log = directory.resolve("member-" + number + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dsun.net.httpserver.nodelay=true",
                "-cp",
                System.getProperty("java.class.path"),
                "org.hyssopport.console.Hyssopport",
                "cell",
                "--settings",
                settings.toString()));
    builder.redirectErrorStream(true).redirectOutput(log.toFile());
    return new MemberProcess(ip, log, builder.start());
  }

  private static ObjectNode settingsJson(String ip, int number, String store, String advice) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode();
    node.put("node", "member-" + number).put("zone", "domain-" + number % 3).put("ip", ip);
    node.putObject("listen")
        .put("front", ip + ":" + CALLER_PORT)
        .put("ready", ip + ":" + READINESS_PORT);
    node.putArray("internalPorts").add(PEER_PORT).add(PEER_PORT + 15);
    node.put("advice", advice);
    node.putObject("platform").put("addr", store).put("ttlMinMs", 1000);
    return node;
  }

  /** Returns the host and port for callers' requests. */
  public String callerAddress() {
    return ip + ":" + CALLER_PORT;
  }

  /** Returns the host and port of the readiness endpoint. */
  public String readinessAddress() {
    return ip + ":" + READINESS_PORT;
  }

  /** Returns what the member has written to its log so far. */
  public String log() throws IOException {
    return Files.readString(log);
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process without a graceful shutdown and waits until it has ended. */
  public void kill() throws InterruptedException {
    process.destroyForcibly().waitFor();
  }

  /** Sends a signal, such as TERM or HUP, without waiting for its effect. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  /** Waits until the process has ended by itself and returns its exit code. */
  public int awaitEnd() throws InterruptedException {
    return process.waitFor();
  }

  /** Requests a graceful shutdown, waits until the process has ended and returns its exit code. */
  public int stop() throws InterruptedException {
    process.destroy();
    return process.waitFor();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
