package org.hyssopport.testkit.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.hyssopport.policy.Json;

/**
 * Calls processes the way callers do.
 *
 * @since 0.1
 */
public final class DemoHttpClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();

  private DemoHttpClient() {}

  /** Returns a probe. */
  public static DemoHttpClient create() {
    return new DemoHttpClient();
  }

  /** Reads a page; nothing if there is no answer. */
  public Optional<Response> get(String address, String path) {
    return send(HttpRequest.newBuilder(uri(address, path)).GET());
  }

  /** Sends a body; nothing if there is no answer. */
  public Optional<Response> post(String address, String path, Object body) {
    String text = body instanceof String raw ? raw : Json.mapper().valueToTree(body).toString();
    return send(
        HttpRequest.newBuilder(uri(address, path)).POST(HttpRequest.BodyPublishers.ofString(text)));
  }

  private static URI uri(String address, String path) {
    return URI.create("http://" + address + path);
  }

  private Optional<Response> send(HttpRequest.Builder request) {
    try {
      HttpResponse<String> response =
          client.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
      return Optional.of(new Response(response.statusCode(), response.body()));
    } catch (IOException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  /**
   * An answer.
   *
   * @param status the HTTP status
   * @param body the body
   */
  public record Response(int status, String body) {

    /** Returns the body as JSON. */
    public JsonNode json() {
      try {
        return Json.mapper().readTree(body);
      } catch (IOException e) {
        return Json.mapper().createObjectNode();
      }
    }
  }
}
