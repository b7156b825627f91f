import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** A small HTTP server for the stand-ins; each call has a thread of its own. */
final class Http {

  static final ObjectMapper JSON = new ObjectMapper();

  interface Handler {
    Reply answer(Call call) throws Exception;
  }

  record Reply(int status, byte[] body) {
    static Reply json(int status, ObjectNode node) throws IOException {
      return new Reply(status, JSON.writeValueAsBytes(node));
    }

    static Reply empty(int status) {
      return new Reply(status, new byte[0]);
    }

    /** Closes the connection without an answer. */
    static Reply none() {
      return new Reply(0, new byte[0]);
    }
  }

  record Call(HttpExchange exchange, byte[] body, Map<String, String> query) {
    JsonNode json() throws IOException {
      return JSON.readTree(body);
    }

    long number(String name, long fallback) {
      return query.containsKey(name) ? Long.parseLong(query.get(name)) : fallback;
    }

    String header(String name) {
      return exchange.getRequestHeaders().getFirst(name);
    }
  }

  private final HttpServer server;

  private Http(HttpServer server) {
    this.server = server;
  }

  static Http open(String ip) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 1024);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "stand-in");
              thread.setDaemon(true);
              return thread;
            }));
    server.start();
    return new Http(server);
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  void on(String path, Handler handler) {
    server.createContext(path, exchange -> serve(exchange, handler));
  }

  private static void serve(HttpExchange exchange, Handler handler) throws IOException {
    try (exchange) {
      byte[] body = exchange.getRequestBody().readAllBytes();
      Reply reply = handler.answer(new Call(exchange, body, parseQuery(exchange)));
      if (reply.status() == 0) {
        throw new IOException("no answer");
      }
      if (reply.body().length > 0) {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
      }
      exchange.sendResponseHeaders(
          reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
      exchange.getResponseBody().write(reply.body());
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException(e);
    }
  }

  private static Map<String, String> parseQuery(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int equals = part.indexOf('=');
        if (equals > 0) {
          query.put(
              part.substring(0, equals),
              URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
    }
    return query;
  }
}
