import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server for stand-ins, and a client that sets the Host header. */
final class Http {

  private Http() {}

  /** A received call. */
  record Call(String method, String path, Map<String, String> query, byte[] body, HttpExchange exchange) {
    Map<String, Object> json() {
      return Json.object(new String(body, StandardCharsets.UTF_8));
    }

    long number(String name) {
      return Long.parseLong(query.getOrDefault(name, "0"));
    }
  }

  /** The reply to a call; status 0 closes the connection without an answer. */
  record Reply(int status, byte[] body) {
    static Reply json(int status, Object value) {
      return new Reply(status, Json.write(value).getBytes(StandardCharsets.UTF_8));
    }

    static Reply empty(int status) {
      return new Reply(status, new byte[0]);
    }
  }

  interface Handler {
    Reply answer(Call call) throws Exception;
  }

  /** A server on a loopback address. */
  static final class Server implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads =
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "stand-in");
              thread.setDaemon(true);
              return thread;
            });

    Server(String host, int port, Handler handler) throws IOException {
      server = HttpServer.create(new InetSocketAddress(host, port), 256);
      server.createContext("/", exchange -> serve(exchange, handler));
      server.setExecutor(threads);
      server.start();
    }

    int port() {
      return server.getAddress().getPort();
    }

    private static void serve(HttpExchange exchange, Handler handler) {
      try (exchange) {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Call call =
            new Call(
                exchange.getRequestMethod(),
                exchange.getRequestURI().getPath(),
                query(exchange.getRequestURI().getRawQuery()),
                body,
                exchange);
        Reply reply = handler.answer(call);
        if (reply.status() == 0) {
          return;
        }
        if (reply.body().length > 0) {
          exchange.getResponseHeaders().set("Content-Type", "application/json");
        }
        exchange.sendResponseHeaders(
            reply.status(), reply.body().length == 0 ? -1 : reply.body().length);
        if (reply.body().length > 0) {
          try (OutputStream out = exchange.getResponseBody()) {
            out.write(reply.body());
          }
        }
      } catch (Exception e) {
        // The caller has gone, or the stand-in was stopped.
      }
    }

    private static Map<String, String> query(String raw) {
      Map<String, String> query = new HashMap<>();
      if (raw != null) {
        for (String pair : raw.split("&", -1)) {
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

  /** An answer to a client; status 0 stands for none. */
  record Answer(int status, String body) {}

  /** Sends a request over a connection of its own. */
  static Answer send(String address, String method, String path, String host, String body, int timeoutMillis) {
    int colon = address.lastIndexOf(':');
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          500);
      socket.setSoTimeout(timeoutMillis);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host
              + "\r\nHyssopport-Deadline-Ms: " + timeoutMillis
              + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
              + "\r\nConnection: close\r\n\r\n";
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      out.flush();
      InputStream in = socket.getInputStream();
      String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
      if (!answer.startsWith("HTTP/1.1 ")) {
        return new Answer(0, "");
      }
      int bodyStart = answer.indexOf("\r\n\r\n");
      return new Answer(
          Integer.parseInt(answer.substring(9, 12)),
          bodyStart < 0 ? "" : answer.substring(bodyStart + 4));
    } catch (IOException | NumberFormatException e) {
      return new Answer(0, e.toString());
    }
  }
}
