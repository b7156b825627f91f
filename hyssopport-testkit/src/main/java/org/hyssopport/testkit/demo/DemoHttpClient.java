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
 * HTTP client that calls the processes of the demonstration as their callers do.
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

  /** Returns a new client. */
  public static DemoHttpClient create() {
    return new DemoHttpClient();
  }

  /**
   * Sends a GET request.
   *
   * @param address the host and port
   * @param path the path
   * @return the response with any status, or empty if none is received within 20 s
   */
  public Optional<Response> get(String address, String path) {
    return send(HttpRequest.newBuilder(uri(address, path)).GET());
  }

  /**
   * Sends a POST request.
   *
   * @param address the host and port
   * @param path the path
   * @param body the body; a string is sent as it is, any other object as JSON
   * @return the response with any status, or empty if none is received within 20 s
   */
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
   * A response.
   *
   * @param status the HTTP status
   * @param body the text of the body
   */
  public record Response(int status, String body) {

    /** Returns the body as JSON, or an empty object if it isn't valid JSON. */
    public JsonNode json() {
      try {
        return Json.mapper().readTree(body);
      } catch (IOException e) {
        return Json.mapper().createObjectNode();
      }
    }
  }
}
