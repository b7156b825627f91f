package org.hyssopport.launcher;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Outcome;
import org.hyssopport.engine.Reason;
import org.hyssopport.policy.Finding;
import org.hyssopport.policy.Json;

/**
 * An HTTP response to a caller or operator: an answer of the engine, or the findings about a
 * request that was refused before it reached the engine.
 *
 * @param status the HTTP status
 * @param body the JSON body
 * @param retryAfterSeconds the value of the Retry-After header in seconds; 0 for no header
 * @param outcome the outcome as a metric label
 * @param reason the reason as a metric label
 */
record HttpAnswer(int status, String body, int retryAfterSeconds, String outcome, String reason) {

  private static final int RETRY_AFTER_SECONDS = 1;

  static HttpAnswer of(Answer answer) {
    if (answer instanceof Answer.RequestAnswer request) {
      return ofRequest(request);
    }
    if (answer instanceof Answer.Refused refused) {
      return ofRefused(refused);
    }
    if (answer instanceof Answer.JobAnswer job) {
      return ofJson(200, toJson(job.view()));
    }
    if (answer instanceof Answer.JobsAnswer jobs) {
      return ofJson(200, toJson(jobs));
    }
    if (answer instanceof Answer.TicketAnswer ticket) {
      return ofJson(201, toJson(ticket));
    }
    if (answer instanceof Answer.StatusAnswer status) {
      return ofJson(200, toJson(status.view()));
    }
    if (answer instanceof Answer.StaleBase stale) {
      String message =
          "base " + stale.base() + " is stale; version " + stale.inForce() + " is in force";
      return ofFindings(409, List.of(new Finding("base", message)), 0);
    }
    Answer.ConfigurationAnswer configuration = (Answer.ConfigurationAnswer) answer;
    String body =
        "{\"version\":"
            + configuration.version()
            + ",\"configuration\":"
            + configuration.text()
            + "}";
    return ofJson(200, body);
  }

  static HttpAnswer ofJson(int status, String body) {
    return new HttpAnswer(status, body, 0, "OTHER", String.valueOf(status));
  }

  static HttpAnswer ofFindings(int status, List<Finding> findings, int retryAfterSeconds) {
    ObjectNode body = Json.mapper().createObjectNode();
    body.set("findings", Json.mapper().valueToTree(findings));
    return new HttpAnswer(
        status, body.toString(), retryAfterSeconds, "REFUSED", String.valueOf(status));
  }

  private static HttpAnswer ofRequest(Answer.RequestAnswer answer) {
    ObjectNode body = Json.mapper().createObjectNode();
    body.put("requestId", answer.requestId());
    body.put("outcome", answer.outcome().name());
    body.put("reason", answer.reason().name());
    body.put("message", answer.reason().text());
    answer.body().ifPresent(text -> body.put("body", text));
    int status = statusOf(answer.outcome(), answer.reason());
    int retryAfter = status == 429 || status == 503 ? RETRY_AFTER_SECONDS : 0;
    return new HttpAnswer(
        status, body.toString(), retryAfter, answer.outcome().name(), answer.reason().name());
  }

  private static int statusOf(Outcome outcome, Reason reason) {
    return switch (outcome) {
      case DONE -> 200;
      case FAILED -> 502;
      case UNKNOWN -> reason == Reason.UNFINISHED ? 202 : 504;
      case NOT_RUN ->
          switch (reason) {
            case OVERLOADED -> 429;
            case DEADLINE_PASSED, TICKET_INVALID -> 400;
            default -> 503;
          };
    };
  }

  private static HttpAnswer ofRefused(Answer.Refused refused) {
    boolean tooLarge =
        refused.findings().stream()
            .anyMatch(
                finding -> finding.place().equals("body") || finding.place().equals("payload"));
    return switch (refused.kind()) {
      case INVALID -> ofFindings(tooLarge ? 413 : 400, refused.findings(), 0);
      case NOT_FOUND -> ofFindings(404, refused.findings(), 0);
      case CONFLICT -> ofFindings(409, refused.findings(), 0);
      case UNAVAILABLE -> ofFindings(503, refused.findings(), RETRY_AFTER_SECONDS);
      case UNKNOWN_OUTCOME -> ofFindings(504, refused.findings(), 0);
    };
  }

  private static String toJson(Object value) {
    try {
      return Json.mapper().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("answer can't be encoded as JSON: " + value, e);
    }
  }
}
