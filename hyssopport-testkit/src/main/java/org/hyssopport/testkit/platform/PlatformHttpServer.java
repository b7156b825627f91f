package org.hyssopport.testkit.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP server of the platform stand-ins; each path has a handler that returns the reply. */
final class PlatformHttpServer implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();

  private PlatformHttpServer(HttpServer server) {
    this.server = server;
  }

  /**
   * A received call.
   *
   * @param query the decoded query parameters
   * @param body the bytes of the body
   * @param exchange the HTTP exchange, which gives the headers
   */
  @SuppressWarnings("ArrayRecordComponent") // never compared
  record Call(Map<String, String> query, byte[] body, HttpExchange exchange) {

    JsonNode json() throws IOException {
      return MAPPER.readTree(body);
    }

    /** Returns the value of a query parameter, or 0 if it is absent. */
    long longParameter(String name) {
      return Long.parseLong(query.getOrDefault(name, "0"));
    }
  }

  /**
   * The reply to a call.
   *
   * @param status the HTTP status, or 0 to close the connection without an answer
   * @param body the bytes of the body
   */
  @SuppressWarnings("ArrayRecordComponent") // never compared
  record Reply(int status, byte[] body) {

    static Reply json(int status, JsonNode node) {
      return new Reply(status, node.toString().getBytes(StandardCharsets.UTF_8));
    }

    static Reply empty(int status) {
      return new Reply(status, new byte[0]);
    }
  }

  /** Returns the reply to a call. */
  interface Handler {
    Reply answer(Call call) throws IOException, InterruptedException;
  }

  static PlatformHttpServer open(String host, int port) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 0);
    PlatformHttpServer opened = new PlatformHttpServer(server);
    server.setExecutor(opened.threads);
    server.start();
    return opened;
  }

  void addHandler(String path, Handler handler) {
    server.createContext(path, exchange -> handleExchange(exchange, handler));
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  private static void handleExchange(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Call call = new Call(parseQuery(exchange.getRequestURI().getRawQuery()), body, exchange);
      Reply reply = handler.answer(call);
      if (reply.status() == 0) {
        return;
      }
      exchange.sendResponseHeaders(
          reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(reply.body());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> parseQuery(String rawQuery) {
    Map<String, String> query = new HashMap<>();
    if (rawQuery != null) {
      for (String pair : rawQuery.split("&", -1)) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
