package org.hyssopport.console;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hyssopport.launcher.TimelineEvent;
import org.hyssopport.policy.Json;

/** Renders the timeline as a self-contained HTML page. */
final class TimelinePage {

  private static final String TEMPLATE = "timeline.html";
  private static final String PLACEHOLDER = "/*EVENTS*/[]";

  private TimelinePage() {}

  static String render(List<TimelineEvent> events) {
    try (InputStream in = TimelinePage.class.getResourceAsStream(TEMPLATE)) {
      String template = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      String data = Json.mapper().writeValueAsString(events).replace("<", "\\u003c");
      return template.replace(PLACEHOLDER, data);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
