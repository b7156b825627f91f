package org.hyssopport.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.vavr.control.Either;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hyssopport.engine.platform.AppendResult;
import org.hyssopport.engine.platform.StoredRecord;
import org.hyssopport.engine.platform.StreamName;
import org.hyssopport.policy.Json;

/**
 * Appends to the platform's log and reads it.
 *
 * @since 0.1
 */
public final class LogClient {

  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration READ_GRACE = Duration.ofSeconds(3);
  private static final int READ_LIMIT = 1000;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;

  private final JsonHttpClient httpClient;
  private final String address;
  private final InstantSource clock;

  private LogClient(JsonHttpClient httpClient, String address, InstantSource clock) {
    this.clock = clock;
    this.httpClient = httpClient;
    this.address = address;
  }

  /** Returns a client of the log at an address. */
  public static LogClient of(JsonHttpClient httpClient, String address, InstantSource clock) {
    return new LogClient(httpClient, address, clock);
  }

  /** Appends records, all or none; the result always comes and is never exceptional. */
  public CompletableFuture<AppendResult> append(StreamName stream, List<NewRecord> records) {
    return httpClient
        .post(address, recordsPath(stream), new NewRecords(records), APPEND_TIMEOUT)
        .thenApply(response -> resultOf(response.statusCode()))
        .exceptionally(
            failure ->
                JsonHttpClient.failedBeforeSending(failure)
                    ? AppendResult.REFUSED
                    : AppendResult.LOST);
  }

  private static AppendResult resultOf(int status) {
    return switch (status) {
      case OK -> AppendResult.APPENDED;
      case TOO_MANY_REQUESTS, UNAVAILABLE -> AppendResult.REFUSED;
      default -> AppendResult.LOST;
    };
  }

  private static String recordsPath(StreamName stream) {
    return "/streams/" + stream.name() + "/records";
  }

  /**
   * Reads records, waiting for the first one.
   *
   * @param firstOffset the first offset to read
   * @param waitUntil until when the log may wait for a record
   * @return the records, or why there are none
   */
  public CompletableFuture<Either<String, StreamPage>> read(
      StreamName stream, long firstOffset, Instant waitUntil) {
    String query =
        "?from=" + firstOffset + "&limit=" + READ_LIMIT + "&wait-until=" + waitUntil.toEpochMilli();
    Duration timeout = Duration.between(clock.instant(), waitUntil).plus(READ_GRACE);
    return httpClient
        .get(address, recordsPath(stream) + query, timeout)
        .thenApply(LogClient::parsePage)
        .exceptionally(failure -> Either.left(String.valueOf(failure.getMessage())));
  }

  private static Either<String, StreamPage> parsePage(HttpResponse<String> response) {
    if (response.statusCode() != OK && response.statusCode() != GONE) {
      return Either.left("the log answered " + response.statusCode());
    }
    try {
      return Either.right(Json.mapper().readValue(response.body(), StreamPage.class));
    } catch (JsonProcessingException e) {
      return Either.left("the log's answer is not readable");
    }
  }

  /**
   * A record to append.
   *
   * @param id the writer's id of the record
   * @param body the encoded record
   */
  public record NewRecord(String id, String body) {}

  /**
   * Records to append together.
   *
   * @param records the records
   */
  public record NewRecords(List<NewRecord> records) {

    /** Copies the list. */
    public NewRecords {
      records = List.copyOf(records);
    }
  }

  /**
   * Records as read.
   *
   * @param firstRetained the first offset that the stream still keeps
   * @param next the offset after the last record of the stream
   * @param records the records; empty if the asked offset has lapsed
   */
  public record StreamPage(long firstRetained, long next, List<StoredRecord> records) {

    /** Copies the list. */
    public StreamPage {
      records = records == null ? List.of() : List.copyOf(records);
    }
  }
}
