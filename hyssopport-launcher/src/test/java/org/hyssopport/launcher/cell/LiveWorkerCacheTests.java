package org.hyssopport.launcher.cell;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import org.hyssopport.engine.worker.WorkerDescription;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the workers that are known while another writer's entry is in the live list. */
class LiveWorkerCacheTests {

  private static final String ENTRY =
      "{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":\"ourthe\",\"state\":\"ready\","
          + "\"born\":5,\"capacity\":{\"cpu\":10,\"memMb\":10},\"labels\":[\"a\",\"r1\"]}";

  private HttpServer storeServer;
  private HttpServer metricsServer;
  private MemberContext context;
  private String items = "";
  private final byte[] laterPage = deletionOf("a");
  private volatile boolean storeDown;
  private volatile Instant now = Instant.parse("2026-01-01T00:00:00Z");

  @BeforeEach
  void start() throws IOException {
    storeServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    storeServer.createContext(
        "/api/log-newest",
        exchange -> {
          byte[] body = ("{\"items\":[" + items + "],\"end\":9}").getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    storeServer.createContext(
        "/api/log-read",
        exchange -> {
          exchange.sendResponseHeaders(storeDown ? 503 : 200, storeDown ? -1 : laterPage.length);
          if (!storeDown) {
            exchange.getResponseBody().write(laterPage);
          }
          exchange.close();
        });
    storeServer.start();
    context =
        MemberContexts.create(
            "127.0.0.1:" + storeServer.getAddress().getPort(),
            () -> now,
            OutputStream.nullOutputStream());
    metricsServer = context.metrics().startServer("127.0.0.1", 0, Runnable::run);
  }

  @AfterEach
  void stop() {
    storeServer.stop(0);
    metricsServer.stop(0);
  }

  /** Returns a page that begins at offset 9 and has one record, which deletes a key. */
  private static byte[] deletionOf(String key) {
    byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(2 * Long.BYTES + Integer.BYTES + 1 + keyBytes.length)
        .putLong(10)
        .putLong(0)
        .putInt(1 + keyBytes.length)
        .put((byte) keyBytes.length)
        .put(keyBytes)
        .array();
  }

  private LiveWorkerCache newCache() {
    return new LiveWorkerCache(context.store(), context.log(), context.clock());
  }

  private static String item(String key, String value, int offset) {
    return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"offset\":" + offset + "}";
  }

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }

  private String metrics() throws IOException, InterruptedException {
    URI address =
        URI.create("http://127.0.0.1:" + metricsServer.getAddress().getPort() + "/metrics");
    return HttpClient.newHttpClient()
        .send(HttpRequest.newBuilder(address).build(), HttpResponse.BodyHandlers.ofString())
        .body();
  }

  @ParameterizedTest
  @ValueSource(strings = {"%%%", "", "e30=", "IA==", "W1tbW1tb"})
  void holdTheWorkersBesideAnOddEntry(String oddValue) throws IOException, InterruptedException {
    String odd = oddValue.isEmpty() ? "{\"key\":\"b\",\"offset\":2}" : item("b", oddValue, 2);
    items = item("a", base64(ENTRY), 1) + "," + odd + "," + item("c", base64(ENTRY), 3);
    LiveWorkerCache cache = newCache();
    assertTrue(cache.refresh());
    List<String> names =
        cache.workers().stream().map(WorkerDescription::id).map(id -> id.name()).sorted().toList();
    assertEquals(List.of("a", "c"), names);
    assertTrue(
        metrics().contains("hyssopport_cell_unreadable_records_total{record=\"live list\"} 1.0"));
  }

  /** Entries expire while the store is away, and workers enter themselves again within 2 s. */
  @Nested
  class WorkersWhoseEntriesAreDeleted {

    private LiveWorkerCache cache;

    private void readAfter(long millis) {
      now = now.plusMillis(millis);
      assertEquals(!storeDown, cache.refresh());
    }

    @BeforeEach
    void readList() {
      items = item("a", base64(ENTRY), 1);
      cache = newCache();
      readAfter(0);
    }

    @Test
    void areGoneIfTheStoreWasThereAllTheTime() {
      readAfter(500);
      assertEquals(List.of(), cache.workers());
      assertEquals(List.of(), cache.lapsed());
    }

    @ParameterizedTest
    @CsvSource({"0, true", "2400, true", "2500, false"})
    void haveLapsedForSomeTimeIfTheStoreWasAway(long millisAfterReturn, boolean expected) {
      storeDown = true;
      readAfter(500);
      readAfter(500);
      storeDown = false;
      readAfter(500);
      for (long millis = 0; millis < millisAfterReturn; millis += 100) {
        readAfter(100);
      }
      assertEquals(List.of(), cache.workers());
      List<String> names = cache.lapsed().stream().map(worker -> worker.id().name()).toList();
      assertEquals(expected ? List.of("a") : List.of(), names);
    }
  }
}
