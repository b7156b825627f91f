package org.hyssopport.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hyssopport.engine.platform.LiveList;
import org.hyssopport.policy.Json;

/**
 * Reads the platform's live list over HTTP.
 *
 * @since 0.1
 */
public final class LiveListClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int OK = 200;

  private final JsonHttpClient httpClient;
  private final String address;

  private LiveListClient(JsonHttpClient httpClient, String address) {
    this.httpClient = httpClient;
    this.address = address;
  }

  /**
   * Returns a client of a live list.
   *
   * @param httpClient sends the requests
   * @param address the host and port of the live list
   */
  public static LiveListClient of(JsonHttpClient httpClient, String address) {
    return new LiveListClient(httpClient, address);
  }

  /** Returns the list, or empty if the request failed or its response can't be read. */
  public CompletableFuture<Optional<LiveList>> read() {
    return httpClient
        .get(address, "/instances", TIMEOUT)
        .thenApply(LiveListClient::parseList)
        .exceptionally(failure -> Optional.empty());
  }

  private static Optional<LiveList> parseList(HttpResponse<String> response) {
    if (response.statusCode() != OK) {
      return Optional.empty();
    }
    try {
      return Optional.of(Json.mapper().readValue(response.body(), LiveList.class));
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
