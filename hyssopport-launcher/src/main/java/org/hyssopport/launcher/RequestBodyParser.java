package org.hyssopport.launcher;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hyssopport.engine.JobSubmission;
import org.hyssopport.engine.ServiceRequest;
import org.hyssopport.policy.FieldReader;
import org.hyssopport.policy.Finding;
import org.hyssopport.policy.Json;
import org.hyssopport.policy.Resources;

/** Parses the JSON bodies of HTTP requests and reports all findings of a body together. */
final class RequestBodyParser {

  private static final int MAXIMUM_TASKS = 1_000_000;

  private RequestBodyParser() {}

  static Either<List<Finding>, ServiceRequest> serviceRequest(String text, Instant now) {
    return read(
        text,
        reader -> {
          reader.reportUnknownFields(
              Set.of(
                  "service",
                  "body",
                  "deadline",
                  "patience",
                  "repeatable",
                  "ticket",
                  "key",
                  "keyExpiry"));
          Optional<String> ticket = reader.optionalText("ticket");
          Optional<String> key = reader.optionalText("key");
          boolean withoutTicketAndKey = ticket.isEmpty() && key.isEmpty();
          return new ServiceRequest(
              reader.text("service"),
              deadline(reader, now),
              reader.booleanValue("repeatable", withoutTicketAndKey),
              ticket,
              key,
              instant(reader, "keyExpiry"),
              reader.optionalText("body").orElse(""));
        });
  }

  static Either<List<Finding>, JobSubmission> jobSubmission(String text, Instant now) {
    return read(
        text,
        reader -> {
          reader.reportUnknownFields(
              Set.of("id", "class", "tasks", "resources", "deadline", "patience", "payload"));
          Optional<Resources> resources =
              reader.has("resources")
                  ? Optional.of(reader.resources("resources", Resources.NONE))
                  : Optional.empty();
          return new JobSubmission(
              reader.optionalText("id"),
              reader.text("class"),
              (int) reader.number("tasks", 1, 1, MAXIMUM_TASKS),
              resources,
              deadline(reader, now),
              reader.optionalText("payload").orElse(""));
        });
  }

  static Either<List<Finding>, Publication> publication(String text) {
    return read(
        text,
        reader -> {
          reader.reportUnknownFields(Set.of("base", "configuration"));
          if (!reader.has("base")) {
            reader.report("base", "is missing; -1 is the base of the first configuration");
          }
          if (!reader.has("configuration")) {
            reader.report("configuration", "is missing");
          }
          long base = reader.number("base", -1, -1, Long.MAX_VALUE);
          return new Publication(base, fieldAsJson(text, "configuration"));
        });
  }

  static Either<List<Finding>, List<String>> jobIds(String text) {
    return read(
        text,
        reader -> {
          reader.reportUnknownFields(Set.of("jobs"));
          List<String> ids = new ArrayList<>();
          for (JsonNode job : parseJson(text).path("jobs")) {
            ids.add(job.asText());
          }
          if (ids.isEmpty()) {
            reader.report("jobs", "must be a list of job ids that is not empty");
          }
          return ids;
        });
  }

  private static <T> Either<List<Finding>, T> read(
      String text, java.util.function.Function<FieldReader, T> readFields) {
    List<Finding> findings = new ArrayList<>();
    JsonNode root;
    try {
      root = Json.mapper().readTree(text);
    } catch (JsonProcessingException e) {
      String place = "line " + e.getLocation().getLineNr();
      return Either.left(List.of(new Finding(place, "is not JSON")));
    }
    T value = readFields.apply(FieldReader.of(root, findings));
    return findings.isEmpty() ? Either.right(value) : Either.left(findings);
  }

  private static JsonNode parseJson(String text) {
    try {
      return Json.mapper().readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("not JSON, although parsed as JSON before: " + text, e);
    }
  }

  private static String fieldAsJson(String text, String field) {
    return parseJson(text).path(field).toString();
  }

  private static Optional<Instant> deadline(FieldReader reader, Instant now) {
    if (reader.has("deadline") && reader.has("patience")) {
      reader.report("patience", "can't be stated together with a deadline");
    }
    if (reader.has("patience")) {
      return Optional.of(now.plus(reader.duration("patience", Duration.ZERO)));
    }
    return instant(reader, "deadline");
  }

  private static Optional<Instant> instant(FieldReader reader, String field) {
    if (!reader.has(field)) {
      return Optional.empty();
    }
    long latest = Instant.parse("9999-01-01T00:00:00Z").toEpochMilli();
    return Optional.of(Instant.ofEpochMilli(reader.number(field, 0, 0, latest)));
  }

  /**
   * A configuration to publish.
   *
   * @param base the version that the configuration was derived from; -1 for the first one
   * @param text the configuration as JSON
   */
  record Publication(long base, String text) {}
}
