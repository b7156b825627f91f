package org.hyssopport.console;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.Optional;

/** Prints replies as text for people or as JSON for scripts. */
final class Output {

  private final PrintStream out;
  private final PrintStream err;
  private final boolean json;

  Output(PrintStream out, PrintStream err, boolean json) {
    this.out = out;
    this.err = err;
    this.json = json;
  }

  PrintStream out() {
    return out;
  }

  PrintStream err() {
    return err;
  }

  /** Prints a reply, or an error if there is none, and returns the exit code of the command. */
  ExitCode print(Optional<EntryClient.Reply> reply, TextFormatter formatter) {
    if (reply.isEmpty()) {
      err.println("the entry instance did not answer; check --entry");
      return ExitCode.UNREACHABLE;
    }
    EntryClient.Reply received = reply.get();
    if (json) {
      out.println(received.body());
      return ExitCode.ofStatus(received.status());
    }
    Optional<JsonNode> body = received.json().filter(JsonNode::isObject);
    if (body.filter(fields -> fields.has("findings")).isPresent()) {
      printFindings(body.get().get("findings"));
    } else if (body.filter(fields -> received.isOk() || fields.has("outcome")).isPresent()) {
      formatter.print(body.get(), out);
    } else {
      err.println("the answer of the entry instance can't be read; status " + received.status());
      return received.isOk() ? ExitCode.UNKNOWN : ExitCode.ofStatus(received.status());
    }
    return ExitCode.ofStatus(received.status());
  }

  private void printFindings(JsonNode findings) {
    for (JsonNode finding : findings) {
      String place = finding.path("place").asText();
      String message = finding.path("message").asText();
      err.println(place.isEmpty() ? message : place + ": " + message);
    }
  }

  /** Prints the JSON body of a reply as text. */
  interface TextFormatter {
    void print(JsonNode body, PrintStream out);
  }
}
