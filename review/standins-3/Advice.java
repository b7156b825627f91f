import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;

/** The advice service as one machine sees it: one call at a time, in turn; all workers are good. */
final class Advice implements AutoCloseable {

  private static final int VALID_MILLIS = 1500;

  private final HttpServer server;
  private final double decideMs;
  private final double eachMs;
  volatile int calls;

  Advice(String host, double decideMs, double eachMs) throws IOException {
    this.decideMs = decideMs;
    this.eachMs = eachMs;
    server = HttpServer.create(new InetSocketAddress(host, 0), 64);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/api/advise", this::advise);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  private void advise(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = Worker.MAPPER.readTree(exchange.getRequestBody().readAllBytes());
      ObjectNode reply = Worker.MAPPER.createObjectNode();
      ArrayNode good = reply.putArray("good");
      body.path("workers").forEach(id -> good.addArray().add(id.asText()).add("t-" + id.asText()));
      reply.put("validMs", VALID_MILLIS);
      synchronized (this) {
        calls++;
        Thread.sleep((long) (decideMs + eachMs * body.path("workers").size()));
      }
      byte[] bytes = Worker.MAPPER.writeValueAsBytes(reply);
      exchange.sendResponseHeaders(200, bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
