package org.hyssopport.console;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Namespace;
import org.hyssopport.launcher.TimelineEvent;
import org.hyssopport.policy.Json;

/** Collects the events of several entry instances and prints them in order of time. */
final class TimelineCommand {

  private TimelineCommand() {}

  static ExitCode run(Namespace flags, PrintStream out, PrintStream err) {
    List<TimelineEvent> events = new ArrayList<>();
    boolean anyReached = false;
    for (String entry : flags.getString("entries").split(",", -1)) {
      Optional<EntryClient.Reply> reply = EntryClient.at(entry).get("/timeline");
      Optional<JsonNode> body =
          reply
              .filter(EntryClient.Reply::isOk)
              .flatMap(EntryClient.Reply::json)
              .filter(JsonNode::isArray);
      if (body.isEmpty()) {
        err.println(
            "can't read the events of an entry instance; left out of the timeline: " + entry);
        continue;
      }
      anyReached = true;
      for (JsonNode node : body.get()) {
        events.add(parseEvent(node));
      }
    }
    events.sort(
        Comparator.comparing(TimelineEvent::at)
            .thenComparing(TimelineEvent::process)
            .thenComparing(TimelineEvent::sequence));
    print(events, flags.getString("format"), out);
    return anyReached ? ExitCode.OK : ExitCode.UNREACHABLE;
  }

  private static TimelineEvent parseEvent(JsonNode node) {
    try {
      return Json.mapper().treeToValue(node, TimelineEvent.class);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("timeline event can't be decoded: " + node, e);
    }
  }

  private static void print(List<TimelineEvent> events, String format, PrintStream out) {
    switch (format) {
      case "json" -> events.forEach(event -> out.println(toJson(event)));
      case "html" -> out.println(TimelinePage.render(events));
      default -> events.forEach(event -> printText(event, out));
    }
  }

  private static String toJson(TimelineEvent event) {
    try {
      return Json.mapper().writeValueAsString(event);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("timeline event can't be encoded as JSON: " + event, e);
    }
  }

  private static void printText(TimelineEvent event, PrintStream out) {
    out.printf(
        "%s  %-12s %-22s %s  %s%n",
        event.at(), event.process(), event.kind(), event.subject(), event.detail());
  }
}
