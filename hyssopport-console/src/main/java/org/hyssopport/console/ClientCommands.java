package org.hyssopport.console;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.ConfigurationReader;
import org.hyssopport.policy.Finding;
import org.hyssopport.policy.Json;

/** Implements the commands that call an entry instance, and the check of a configuration file. */
final class ClientCommands {

  private final Namespace flags;
  private final Output output;

  ClientCommands(Namespace flags, Output output) {
    this.flags = flags;
    this.output = output;
  }

  private EntryClient entry() {
    return EntryClient.at(flags.getString("entry"));
  }

  ExitCode checkConfiguration() {
    Either<ExitCode, ValidConfiguration> read = readConfiguration();
    if (read.isLeft()) {
      return read.getLeft();
    }
    Configuration configuration = read.get().configuration();
    output
        .out()
        .println(
            "configuration "
                + configuration.name()
                + " is valid: "
                + configuration.teams().size()
                + " teams, "
                + configuration.classes().size()
                + " classes");
    return ExitCode.OK;
  }

  ExitCode publishConfiguration() {
    Either<ExitCode, ValidConfiguration> read = readConfiguration();
    if (read.isLeft()) {
      return read.getLeft();
    }
    String base = flags.getString("base");
    if (!base.matches("-?\\d{1,18}")) {
      output.err().println("--base: must be a configuration version or -1, but is " + base);
      return ExitCode.USAGE;
    }
    String body = "{\"base\":" + base + ",\"configuration\":" + read.get().text() + "}";
    return output.print(
        entry().post("/configuration", body),
        (reply, out) -> out.println("version " + reply.path("version").asLong() + " is in force"));
  }

  /** Reads and validates the configuration file; prints all findings if it is invalid. */
  private Either<ExitCode, ValidConfiguration> readConfiguration() {
    Optional<String> text = readFile(flags.getString("file"));
    if (text.isEmpty()) {
      return Either.left(ExitCode.USAGE);
    }
    Either<List<Finding>, Configuration> checked = ConfigurationReader.read(text.get());
    if (checked.isLeft()) {
      checked.getLeft().forEach(output.err()::println);
      return Either.left(ExitCode.REFUSED);
    }
    return Either.right(new ValidConfiguration(text.get(), checked.get()));
  }

  ExitCode showConfiguration() {
    return output.print(
        entry().get("/configuration"),
        (reply, out) -> {
          out.println("version " + reply.path("version").asLong());
          out.println(reply.path("configuration").toPrettyString());
        });
  }

  ExitCode submit() {
    Optional<String> text = readFile(flags.getString("file"));
    if (text.isEmpty()) {
      return ExitCode.USAGE;
    }
    JsonNode body;
    try {
      body = Json.mapper().readTree(text.get());
    } catch (IOException e) {
      output.err().println("the file is not JSON: " + e.getMessage());
      return ExitCode.USAGE;
    }
    boolean isJob = body.has("class");
    return output.print(
        entry().post(isJob ? "/jobs" : "/requests", text.get()),
        isJob ? ClientCommands::printJob : ClientCommands::printRequest);
  }

  ExitCode showJob() {
    // In a path, unlike in a form, a plus sign is not a space.
    String id =
        URLEncoder.encode(flags.getString("id"), StandardCharsets.UTF_8).replace("+", "%20");
    return output.print(entry().get("/jobs/" + id), ClientCommands::printJob);
  }

  ExitCode listJobs() {
    return output.print(
        entry().get("/jobs"),
        (reply, out) -> reply.path("views").forEach(view -> printJob(view, out)));
  }

  ExitCode cancelJobs() {
    ObjectNode body = Json.mapper().createObjectNode();
    ArrayNode jobs = body.putArray("jobs");
    flags.<String>getList("id").forEach(jobs::add);
    return output.print(
        entry().post("/jobs/cancel", body.toString()),
        (reply, out) -> reply.path("views").forEach(view -> printJob(view, out)));
  }

  ExitCode status() {
    return output.print(entry().get("/status"), ClientCommands::printStatus);
  }

  private static void printRequest(JsonNode reply, PrintStream out) {
    out.println(
        reply.path("requestId").asText()
            + "  "
            + reply.path("outcome").asText()
            + "  "
            + reply.path("message").asText());
    if (reply.has("body")) {
      out.println(reply.path("body").asText());
    }
  }

  private static void printJob(JsonNode view, PrintStream out) {
    String outcome = view.path("outcome").asText("");
    out.printf(
        "%s  %s  %s  %d of %d tasks done, %d running, %d waiting%n",
        view.path("id").asText(),
        view.path("className").asText(),
        outcome.isEmpty() ? view.path("state").asText() : outcome,
        view.path("done").asInt(),
        view.path("tasks").asInt(),
        view.path("running").asInt(),
        view.path("waiting").asInt());
  }

  private static void printStatus(JsonNode status, PrintStream out) {
    out.printf(
        "%s in %s: %s, configuration %d%n",
        status.path("instance").asText(),
        status.path("failureDomain").asText(),
        status.path("draining").asBoolean()
            ? "leaving"
            : status.path("ready").asBoolean() ? "ready" : "not ready",
        status.path("configurationVersion").asLong());
    out.println("peers: " + status.path("peers"));
    out.printf(
        "requests: %d waiting, %d running; jobs not ended: %d%n",
        status.path("waitingRequests").asInt(),
        status.path("runningRequests").asInt(),
        status.path("unfinishedJobs").asInt());
    for (JsonNode worker : status.path("workers")) {
      out.printf(
          "%-16s %-9s %d/%d slots%s%s%n",
          worker.path("name").asText(),
          worker.path("state").asText(),
          worker.path("usedSlots").asInt(),
          worker.path("slots").asInt(),
          worker.path("ejected").asBoolean() ? " ejected" : "",
          worker.path("leaving").asBoolean() ? " leaving" : "");
    }
  }

  private Optional<String> readFile(String name) {
    try {
      if (name.equals("-")) {
        return Optional.of(new String(System.in.readAllBytes(), StandardCharsets.UTF_8));
      }
      return Optional.of(Files.readString(Path.of(name)));
    } catch (IOException e) {
      output.err().println("can't read file: " + name);
      return Optional.empty();
    }
  }

  /**
   * A configuration without findings.
   *
   * @param text the configuration as JSON
   * @param configuration the parsed configuration
   */
  private record ValidConfiguration(String text, Configuration configuration) {}
}
