package org.hyssopport.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.LongAdder;
import org.hyssopport.engine.platform.FailureDomain;
import org.hyssopport.policy.Json;

/**
 * Exchanges JSON with the platform and its workers over HTTP/1.1.
 *
 * <p>Requests that change something must be sent with POST, since the underlying {@link HttpClient}
 * may repeat a GET request on its own.
 *
 * @since 0.1
 */
public final class JsonHttpClient {

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);
  private static final int THREADS = 4;
  private static final String DOMAIN_HEADER = "X-Failure-Domain";

  private final HttpClient client;
  private final FailureDomain failureDomain;
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();

  private JsonHttpClient(HttpClient client, FailureDomain failureDomain) {
    this.client = client;
    this.failureDomain = failureDomain;
  }

  /** Returns a client that sends the name of the given failure domain with every request. */
  public static JsonHttpClient from(FailureDomain failureDomain) {
    ExecutorService threads =
        Executors.newFixedThreadPool(
            THREADS,
            task -> {
              Thread thread = new Thread(task, "http-client");
              thread.setDaemon(true);
              return thread;
            });
    HttpClient client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(threads)
            .build();
    return new JsonHttpClient(client, failureDomain);
  }

  /**
   * Returns the total length of the bodies sent so far, in characters; for ASCII text that is their
   * size in bytes.
   */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /**
   * Returns the total length of the bodies received so far, in characters; for ASCII text that is
   * their size in bytes.
   */
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  /**
   * Sends a GET request, which must not change anything on the receiver.
   *
   * @param address the host and port of the receiver
   * @param path the path and query
   * @param timeout the time limit for the response
   * @return the response; completes exceptionally if the request failed or timed out
   */
  public CompletableFuture<HttpResponse<String>> get(
      String address, String path, Duration timeout) {
    return send(HttpRequest.newBuilder(uri(address, path)).timeout(timeout).GET());
  }

  /**
   * Sends a POST request with a JSON body.
   *
   * @param address the host and port of the receiver
   * @param path the path
   * @param body the value that is encoded as JSON
   * @param timeout the time limit for the response
   * @return the response; completes exceptionally if the body can't be encoded or the request
   *     failed or timed out
   */
  public CompletableFuture<HttpResponse<String>> post(
      String address, String path, Object body, Duration timeout) {
    String text;
    try {
      text = Json.mapper().writeValueAsString(body);
    } catch (JsonProcessingException e) {
      return CompletableFuture.failedFuture(e);
    }
    sentBytes.add(text.length());
    return send(
        HttpRequest.newBuilder(uri(address, path))
            .timeout(timeout)
            .header("Content-Type", "application/json")
            .POST(HttpRequest.BodyPublishers.ofString(text)));
  }

  private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
    request.header(DOMAIN_HEADER, failureDomain.name());
    return client
        .sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .whenComplete(
            (response, failure) -> {
              if (response != null) {
                receivedBytes.add(response.body().length());
              }
            });
  }

  private static URI uri(String address, String path) {
    return URI.create("http://" + address + path);
  }

  /**
   * Returns whether a request failed to connect, so that it certainly did not reach the receiver.
   */
  static boolean failedBeforeSending(Throwable failure) {
    Throwable cause = failure;
    while (cause instanceof CompletionException && cause.getCause() != null) {
      cause = cause.getCause();
    }
    return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
  }
}
