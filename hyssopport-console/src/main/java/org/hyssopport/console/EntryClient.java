package org.hyssopport.console;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.hyssopport.policy.Json;

/** Sends the HTTP calls of the command line to an entry instance. */
final class EntryClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofMinutes(2);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .build();
  private final String address;

  private EntryClient(String address) {
    this.address = address;
  }

  static EntryClient at(String address) {
    return new EntryClient(address);
  }

  /** Returns the reply, or empty if the call failed without one. */
  Optional<Reply> get(String path) {
    return send(HttpRequest.newBuilder(uri(path)).GET());
  }

  /** Returns the reply, or empty if the call failed without one. */
  Optional<Reply> post(String path, String body) {
    return send(
        HttpRequest.newBuilder(uri(path))
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  private URI uri(String path) {
    return URI.create("http://" + address + path);
  }

  private Optional<Reply> send(HttpRequest.Builder request) {
    try {
      HttpResponse<String> response =
          client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
      return Optional.of(new Reply(response.statusCode(), response.body()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  /**
   * The reply of an entry instance.
   *
   * @param status the HTTP status
   * @param body the response body, usually JSON
   */
  record Reply(int status, String body) {

    /** Returns the body, or empty if it is not JSON. */
    Optional<JsonNode> json() {
      try {
        return Optional.of(Json.mapper().readTree(body)).filter(node -> !node.isMissingNode());
      } catch (JsonProcessingException e) {
        // The caller reports the reply as unreadable.
        return Optional.empty();
      }
    }

    boolean isOk() {
      return status < 300;
    }
  }
}
