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
 * Appends records to the platform's log and reads them over HTTP.
 *
 * @since 0.1
 */
public final class LogClient {

  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(4);

  /** How long after the {@code waitUntil} of a read its answer may arrive. */
  private static final Duration READ_GRACE = Duration.ofSeconds(3);

  private static final int MAXIMUM_RECORDS_PER_READ = 1000;
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

  /**
   * Returns a client of a log.
   *
   * @param httpClient sends the requests
   * @param address the host and port of the log
   * @param clock gives the time from which the timeouts of reads are computed
   */
  public static LogClient of(JsonHttpClient httpClient, String address, InstantSource clock) {
    return new LogClient(httpClient, address, clock);
  }

  /**
   * Appends records to a stream, either all of them or none.
   *
   * @param stream the stream to append to
   * @param records the records, in order
   * @return the result, which never completes exceptionally
   */
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
   * Reads records of a stream. If there are none yet, the log waits for the first one.
   *
   * @param stream the stream to read
   * @param firstOffset the offset of the first record to read
   * @param waitUntil the time until which the log may wait for a record
   * @return the records, or on the left why they could not be read; never completes exceptionally
   */
  public CompletableFuture<Either<String, StreamPage>> read(
      StreamName stream, long firstOffset, Instant waitUntil) {
    String query =
        "?from="
            + firstOffset
            + "&limit="
            + MAXIMUM_RECORDS_PER_READ
            + "&wait-until="
            + waitUntil.toEpochMilli();
    Duration timeout = Duration.between(clock.instant(), waitUntil).plus(READ_GRACE);
    return httpClient
        .get(address, recordsPath(stream) + query, timeout)
        .thenApply(LogClient::parsePage)
        .exceptionally(failure -> Either.left(String.valueOf(failure.getMessage())));
  }

  private static Either<String, StreamPage> parsePage(HttpResponse<String> response) {
    if (response.statusCode() != OK && response.statusCode() != GONE) {
      return Either.left("the log answered with status " + response.statusCode());
    }
    try {
      return Either.right(Json.mapper().readValue(response.body(), StreamPage.class));
    } catch (JsonProcessingException e) {
      return Either.left("the log's answer can't be parsed");
    }
  }

  /**
   * A record to append.
   *
   * @param id the id that the writer chose
   * @param body the encoded record
   */
  public record NewRecord(String id, String body) {}

  /**
   * Records that are appended together.
   *
   * @param records the records, in order
   */
  public record NewRecords(List<NewRecord> records) {

    /** Copies the list. */
    public NewRecords {
      records = List.copyOf(records);
    }
  }

  /**
   * The records that one read returned.
   *
   * @param firstRetained the first offset that the stream still retains
   * @param next the offset after the last record of the stream
   * @param records the records; empty if the requested offset is no longer retained
   */
  public record StreamPage(long firstRetained, long next, List<StoredRecord> records) {

    /** Copies the list. */
    public StreamPage {
      records = records == null ? List.of() : List.copyOf(records);
    }
  }
}
