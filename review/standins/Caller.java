import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A client of the cell. Its tries go to one member after the other. */
final class Caller {

  private static final Duration TIME_LIMIT = Duration.ofMillis(3_000);
  private static final long RETRY_MILLIS = 1_000;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(TIME_LIMIT)
          .build();
  private final Cell cell;
  private final String host;
  private final String prefix;
  private int next;

  Caller(Cell cell, String host, String prefix) {
    this.cell = cell;
    this.host = host;
    this.prefix = prefix;
  }

  private record Answer(int status, String body) {}

  private synchronized Cell.Member nextMember() {
    return cell.members.get(next++ % cell.members.size());
  }

  /** Sends a request once; status 0 stands for no answer. */
  private Answer send(String method, String id, String body) throws InterruptedException {
    Cell.Member member = nextMember();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + member.front() + prefix + id))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Host", host)
            .header("Content-Type", "application/json")
            .header("Hyssopport-Deadline-Ms", String.valueOf(TIME_LIMIT.toMillis()))
            .timeout(TIME_LIMIT)
            .build();
    Answer answer;
    try {
      HttpResponse<String> response =
          client.send(request, HttpResponse.BodyHandlers.ofString());
      answer = new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      answer = new Answer(0, e.toString());
    }
    Record.line("caller: %s %s at %s: %d %s", method, id, member.name, answer.status(),
        answer.body());
    return answer;
  }

  /** Submits a job, with retries until it is accepted; returns whether it was. */
  boolean submit(String id, String body, int tries) throws InterruptedException {
    for (int attempt = 0; attempt < tries; attempt++) {
      Answer answer = send("POST", id, body);
      if (answer.status() / 100 == 2) {
        return true;
      }
      Thread.sleep(RETRY_MILLIS);
    }
    return false;
  }

  /** Asks for the state of a job, at one member after the other until one answers. */
  Optional<String> state(String id) throws InterruptedException, IOException {
    for (int attempt = 0; attempt < cell.members.size(); attempt++) {
      Answer answer = send("GET", id, "");
      if (answer.status() == 200) {
        JsonNode node = Http.JSON.readTree(answer.body());
        return Optional.of(node.path("state").asText());
      }
      if (answer.status() == 410) {
        return Optional.of("410");
      }
    }
    return Optional.empty();
  }

  /** Waits until all members report that they are ready. */
  boolean awaitReady(Duration limit) throws InterruptedException {
    long deadline = Record.now() + limit.toMillis();
    List<Cell.Member> waiting = new ArrayList<>(cell.members);
    while (!waiting.isEmpty() && Record.now() < deadline) {
      waiting.removeIf(this::isReady);
      Thread.sleep(100);
    }
    return waiting.isEmpty();
  }

  private boolean isReady(Cell.Member member) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(
                  URI.create("http://" + cell.readyAddress(member) + "/api/ready"))
              .timeout(Duration.ofSeconds(1))
              .build();
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
