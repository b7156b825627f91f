package org.hyssopport.testkit.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Callable;

/** Sends requests to members that run as processes, and waits for what they do. */
abstract class AbstractEndToEndTests {

  static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

  final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  /** Repeats a check until it is true; the timeout only ends a test that would hang. */
  static void await(Callable<Boolean> check) throws Exception {
    long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (true) {
      try {
        if (check.call()) {
          return;
        }
      } catch (IOException e) {
        // The member does not listen yet or was killed; the check is repeated.
      }
      assertTrue(System.nanoTime() < deadlineNanos, "condition not met within " + AWAIT_TIMEOUT);
      Thread.sleep(50);
    }
  }

  HttpResponse<String> get(String address, String path) throws Exception {
    return send(HttpRequest.newBuilder(URI.create("http://" + address + path)).GET());
  }

  HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
    return client.send(
        request.timeout(Duration.ofSeconds(10)).build(), HttpResponse.BodyHandlers.ofString());
  }
}
