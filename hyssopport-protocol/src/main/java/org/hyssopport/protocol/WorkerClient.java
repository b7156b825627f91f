package org.hyssopport.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;
import org.hyssopport.engine.platform.WorkerCall;
import org.hyssopport.engine.platform.WorkerCall.AcquireLease;
import org.hyssopport.engine.platform.WorkerCall.ReadReport;
import org.hyssopport.engine.platform.WorkerCall.ReadTask;
import org.hyssopport.engine.platform.WorkerCall.ReleaseLease;
import org.hyssopport.engine.platform.WorkerCall.RenewLease;
import org.hyssopport.engine.platform.WorkerCall.StartTask;
import org.hyssopport.engine.platform.WorkerCall.StopTask;
import org.hyssopport.engine.platform.WorkerReply;
import org.hyssopport.engine.platform.WorkerTaskReport;
import org.hyssopport.policy.Json;

/**
 * Sends calls to workers over HTTP and parses their replies.
 *
 * <p>It does not retry failed calls; the engine does.
 *
 * @since 0.1
 */
public final class WorkerClient {

  /** The timeout of every call except those that run a request and wait for its answer. */
  private static final Duration CONTROL_TIMEOUT = Duration.ofMillis(1500);

  /** How long after the horizon of a request its answer may arrive. */
  private static final Duration ANSWER_GRACE = Duration.ofMillis(1500);

  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;

  private final JsonHttpClient httpClient;
  private final InstantSource clock;

  private WorkerClient(JsonHttpClient httpClient, InstantSource clock) {
    this.httpClient = httpClient;
    this.clock = clock;
  }

  /**
   * Returns a client of all workers.
   *
   * @param httpClient sends the requests
   * @param clock gives the time from which the timeouts of requests are computed
   */
  public static WorkerClient of(JsonHttpClient httpClient, InstantSource clock) {
    return new WorkerClient(httpClient, clock);
  }

  /**
   * Sends a call to a worker.
   *
   * @param address the host and port of the worker
   * @param call the call
   * @return the reply, which never completes exceptionally: a failed or timed-out request or an
   *     unreadable response yields a {@link WorkerReply.NoUsableReply}
   */
  public CompletableFuture<WorkerReply> call(String address, WorkerCall call) {
    return send(address, call)
        .thenApply(response -> parseReply(call, response))
        .exceptionally(
            failure -> new WorkerReply.NoUsableReply(!JsonHttpClient.failedBeforeSending(failure)));
  }

  private CompletableFuture<HttpResponse<String>> send(String address, WorkerCall call) {
    if (call instanceof ReadReport) {
      return httpClient.get(address, "/report", CONTROL_TIMEOUT);
    }
    if (call instanceof ReadTask read) {
      String id = URLEncoder.encode(read.attempt().toString(), StandardCharsets.UTF_8);
      return httpClient.get(address, "/tasks?attempt=" + id, CONTROL_TIMEOUT);
    }
    return httpClient.post(address, pathOf(call), call, timeoutOf(call));
  }

  private static String pathOf(WorkerCall call) {
    if (call instanceof AcquireLease) {
      return "/lease";
    }
    if (call instanceof RenewLease) {
      return "/lease/renew";
    }
    if (call instanceof ReleaseLease) {
      return "/lease/release";
    }
    if (call instanceof StopTask) {
      return "/tasks/stop";
    }
    return call instanceof StartTask start && !start.kept() ? "/requests" : "/tasks";
  }

  private Duration timeoutOf(WorkerCall call) {
    if (call instanceof StartTask start && !start.kept()) {
      Instant answerDeadline = start.horizon().plus(ANSWER_GRACE);
      Duration remaining = Duration.between(clock.instant(), answerDeadline);
      return remaining.compareTo(CONTROL_TIMEOUT) > 0 ? remaining : CONTROL_TIMEOUT;
    }
    return CONTROL_TIMEOUT;
  }

  private static WorkerReply parseReply(WorkerCall call, HttpResponse<String> response) {
    try {
      return parseReplyOrThrow(call, response);
    } catch (JsonProcessingException e) {
      return new WorkerReply.NoUsableReply(true);
    }
  }

  private static WorkerReply parseReplyOrThrow(WorkerCall call, HttpResponse<String> response)
      throws JsonProcessingException {
    int status = response.statusCode();
    if (status == CONFLICT && call instanceof AcquireLease) {
      return parseBody(response, WorkerReply.LeaseHeld.class);
    }
    if (status == CONFLICT || status == GONE || status == 400) {
      return parseBody(response, WorkerReply.Refused.class);
    }
    if (status != OK) {
      return new WorkerReply.NoUsableReply(true);
    }
    if (call instanceof AcquireLease) {
      return parseBody(response, WorkerReply.LeaseGranted.class);
    }
    if (call instanceof RenewLease) {
      return parseBody(response, WorkerReply.LeaseRenewed.class);
    }
    if (call instanceof ReleaseLease) {
      return new WorkerReply.LeaseReleased();
    }
    if (call instanceof ReadReport) {
      return new WorkerReply.ReportRead(parseBody(response, WorkerTaskReport.class));
    }
    return parseBody(response, WorkerReply.AttemptState.class);
  }

  private static <T> T parseBody(HttpResponse<String> response, Class<T> type)
      throws JsonProcessingException {
    return Json.mapper().readValue(response.body(), type);
  }
}
