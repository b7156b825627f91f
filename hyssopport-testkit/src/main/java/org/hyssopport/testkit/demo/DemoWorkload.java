package org.hyssopport.testkit.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.hyssopport.engine.platform.LiveInstance;
import org.hyssopport.policy.Json;
import org.hyssopport.testkit.oracle.Capacity;
import org.hyssopport.testkit.oracle.History;
import org.hyssopport.testkit.oracle.Oracle;
import org.hyssopport.testkit.oracle.ReportedOutcome;
import org.hyssopport.testkit.oracle.ReportedOutcome.ExecutionGuarantee;
import org.hyssopport.testkit.oracle.ReportedOutcome.Verdict;
import org.hyssopport.testkit.oracle.Run;
import org.hyssopport.testkit.standin.WorkScript;

/**
 * Runs a firm's workload on a running cell and checks the reported outcomes against the runs that
 * the workers recorded.
 *
 * @since 0.1
 */
public final class DemoWorkload {

  private static final int CHECK_REQUESTS = 300;
  private static final int TICKET_REQUESTS = 30;
  private static final int KEY_REQUESTS = 12;
  private static final int BATCH_JOBS = 12;
  private static final int TASKS_PER_BATCH_JOB = 3;
  private static final int GANG_TASKS = 6;
  private static final int CALLER_THREADS = 16;
  private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration KEY_LIFETIME = Duration.ofMinutes(30);

  private final CellLayout layout;
  private final DemoHttpClient client = DemoHttpClient.create();
  private final InstantSource clock = InstantSource.system();
  private final PrintStream out;
  private final Firm.WorkClassNames classNames;
  private final ConcurrentLinkedQueue<LabelledOutcome> outcomes = new ConcurrentLinkedQueue<>();
  private final List<String> problems = new ArrayList<>();

  private DemoWorkload(CellLayout layout, PrintStream out) {
    this.layout = layout;
    this.out = out;
    this.classNames = layout.firm().workClassNames();
  }

  /**
   * Runs the workload and prints its outcomes and all problems.
   *
   * @param layout the cell to run on
   * @param out where the outcomes and problems are printed
   * @return whether every piece of work was done and the oracle found no violation
   */
  public static boolean run(CellLayout layout, PrintStream out) {
    return new DemoWorkload(layout, out).run();
  }

  private boolean run() {
    sendServiceRequests();
    runJobs();
    History history = collectHistory();
    List<String> violations = Oracle.check(history);
    printTable();
    violations.forEach(each -> out.println("VIOLATION " + each));
    problems.forEach(each -> out.println("FAULT " + each));
    return violations.isEmpty() && problems.isEmpty();
  }

  private String entryAddress(int number) {
    List<LiveInstance> entries = layout.entries();
    return entries.get(number % entries.size()).address();
  }

  private void sendServiceRequests() {
    ExecutorService callers = Executors.newFixedThreadPool(CALLER_THREADS);
    for (int number = 0; number < CHECK_REQUESTS; number++) {
      int requestNumber = number;
      callers.execute(() -> sendCheck(requestNumber));
    }
    for (int number = 0; number < TICKET_REQUESTS; number++) {
      int requestNumber = number;
      callers.execute(() -> requestByTicket(requestNumber));
    }
    for (int number = 0; number < KEY_REQUESTS; number++) {
      int requestNumber = number;
      callers.execute(() -> requestByKey(requestNumber));
    }
    callers.shutdown();
    try {
      if (!callers.awaitTermination(COMPLETION_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
        problems.add("some requests were not answered within " + COMPLETION_TIMEOUT);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ObjectNode newRequest(String service, String body) {
    ObjectNode request = Json.mapper().createObjectNode();
    request.put("service", service);
    request.put("body", body);
    return request;
  }

  private void sendCheck(int number) {
    String body = "{\"runMillis\":" + (10 + number % 40) + ",\"check\":" + number + "}";
    sendRequest(
        "check",
        entryAddress(number),
        newRequest(classNames.checkService(), body),
        ExecutionGuarantee.REPEATABLE,
        body);
  }

  /** Sends a request with the same ticket to two instances, as after a lost first answer. */
  private void requestByTicket(int number) {
    Optional<DemoHttpClient.Response> issued = client.post(entryAddress(number), "/tickets", "{}");
    if (issued.isEmpty()) {
      synchronized (problems) {
        problems.add("booking not sent, no ticket received from " + entryAddress(number));
      }
      return;
    }
    String ticket = issued.get().json().path("ticket").asText();
    String body = "{\"runMillis\":25,\"deposit\":" + number + "}";
    ObjectNode request = newRequest(classNames.bookingService(), body);
    request.put("ticket", ticket);
    sendRequest(
        "booking by ticket", entryAddress(number), request, ExecutionGuarantee.AT_MOST_ONCE, body);
    sendRequest(
        "booking sent again",
        entryAddress(number + 1),
        request,
        ExecutionGuarantee.AT_MOST_ONCE,
        body);
  }

  private void requestByKey(int number) {
    String key = layout.firm() + "-day-" + clock.millis() + "-" + number;
    String body = "{\"runMillis\":25,\"pickup\":" + number + "}";
    ObjectNode request = newRequest(classNames.bookingService(), body);
    request.put("key", key);
    request.put("keyExpiry", clock.instant().plus(KEY_LIFETIME).toEpochMilli());
    sendRequest(
        "booking by key", entryAddress(number), request, ExecutionGuarantee.AT_MOST_ONCE, body);
    sendRequest(
        "booking sent again",
        entryAddress(number + 4),
        request,
        ExecutionGuarantee.AT_MOST_ONCE,
        body);
  }

  private void sendRequest(
      String label, String address, ObjectNode request, ExecutionGuarantee guarantee, String body) {
    Optional<DemoHttpClient.Response> response = client.post(address, "/requests", request);
    JsonNode answer =
        response
            .map(DemoHttpClient.Response::json)
            .orElseGet(() -> Json.mapper().createObjectNode());
    Verdict verdict =
        answer.has("outcome") ? Verdict.valueOf(answer.path("outcome").asText()) : Verdict.UNKNOWN;
    Optional<String> receivedBody =
        answer.has("body") ? Optional.of(answer.path("body").asText()) : Optional.empty();
    Optional<String> expectedBody = Optional.of(WorkScript.answerTo(body));
    outcomes.add(
        new LabelledOutcome(
            label, new ReportedOutcome(body, guarantee, verdict, receivedBody, expectedBody)));
  }

  private void runJobs() {
    Map<String, SubmittedJob> jobs = new LinkedHashMap<>();
    for (int number = 0; number < BATCH_JOBS; number++) {
      submit(classNames.batchClass(), TASKS_PER_BATCH_JOB, 150 + 50L * (number % 5), number, jobs);
    }
    submit(classNames.gangClass(), GANG_TASKS, 400, BATCH_JOBS, jobs);
    Instant deadline = clock.instant().plus(COMPLETION_TIMEOUT);
    jobs.forEach((id, job) -> awaitJob(id, job, deadline));
  }

  private void submit(
      String className, int tasks, long runMillis, int number, Map<String, SubmittedJob> jobs) {
    ObjectNode job = Json.mapper().createObjectNode();
    job.put("class", className);
    job.put("tasks", tasks);
    String payload = "{\"runMillis\":" + runMillis + ",\"job\":" + number + "}";
    job.put("payload", payload);
    Optional<DemoHttpClient.Response> response = client.post(entryAddress(number), "/jobs", job);
    if (response.isPresent() && response.get().status() == 200) {
      ExecutionGuarantee guarantee =
          className.equals(classNames.gangClass())
              ? ExecutionGuarantee.GANG_JOB
              : ExecutionGuarantee.JOB;
      jobs.put(response.get().json().path("id").asText(), new SubmittedJob(payload, guarantee));
    } else {
      problems.add("job of class " + className + " was not accepted: " + response);
    }
  }

  private void awaitJob(String id, SubmittedJob job, Instant deadline) {
    JsonNode view = Json.mapper().createObjectNode();
    while (clock.instant().isBefore(deadline)) {
      view =
          client
              .get(entryAddress(id.length()), "/jobs/" + id)
              .map(DemoHttpClient.Response::json)
              .orElseGet(() -> Json.mapper().createObjectNode());
      if (view.path("state").asText().equals("ENDED")) {
        break;
      }
      pause();
    }
    Verdict verdict =
        view.has("outcome") ? Verdict.valueOf(view.path("outcome").asText()) : Verdict.UNKNOWN;
    String label = view.path("className").asText(id);
    ReportedOutcome reported =
        new ReportedOutcome(
            job.payload(), job.guarantee(), verdict, Optional.empty(), Optional.empty());
    outcomes.add(new LabelledOutcome(label + " job", reported));
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private History collectHistory() {
    History history = History.empty();
    outcomes.forEach(outcome -> history.add(outcome.reported()));
    for (LiveInstance worker : layout.workers()) {
      history.add(
          new Capacity(
              worker.name(),
              worker.capacity().milliProcessors(),
              worker.capacity().memoryMebibytes(),
              worker.capacity().accelerators(),
              worker.slots()));
      Optional<DemoHttpClient.Response> response = client.get(worker.address(), "/history");
      if (response.isEmpty()) {
        problems.add("no run history received from worker " + worker.name());
      } else {
        response.get().json().forEach(node -> history.add(parseRun(node)));
      }
    }
    return history;
  }

  private static Run parseRun(JsonNode node) {
    Instant end =
        node.has("endedAt")
            ? Instant.ofEpochMilli(node.path("endedAt").asLong())
            : Instant.ofEpochMilli(Long.MAX_VALUE);
    JsonNode resources = node.path("resources");
    return new Run(
        node.path("worker").asText(),
        node.path("task").asText(),
        node.path("payload").asText(),
        Instant.ofEpochMilli(node.path("startedAt").asLong()),
        end,
        resources.path("milliProcessors").asLong(),
        resources.path("memoryMebibytes").asLong(),
        resources.path("accelerators").asLong(),
        node.path("result").asText().equals("DONE"));
  }

  private void printTable() {
    Map<String, Map<Verdict, Integer>> table = new TreeMap<>();
    for (LabelledOutcome outcome : outcomes) {
      table
          .computeIfAbsent(outcome.label(), label -> new TreeMap<>())
          .merge(outcome.reported().verdict(), 1, Integer::sum);
      if (outcome.reported().verdict() != Verdict.DONE) {
        problems.add(
            outcome.label()
                + " "
                + outcome.reported().payload()
                + " ended with outcome "
                + outcome.reported().verdict());
      }
    }
    out.printf("%-24s %6s  %s%n", "workload", "count", "outcomes");
    table.forEach(
        (label, verdicts) -> {
          int count = verdicts.values().stream().mapToInt(Integer::intValue).sum();
          out.printf("%-24s %6d  %s%n", label, count, verdicts);
        });
  }

  /**
   * A job that was accepted.
   *
   * @param payload the payload, which identifies the job
   * @param guarantee how its tasks may run
   */
  private record SubmittedJob(String payload, ExecutionGuarantee guarantee) {}

  /**
   * The outcome of one piece of work.
   *
   * @param label the kind of work; outcomes are counted by it
   * @param reported the outcome that was reported to the caller
   */
  private record LabelledOutcome(String label, ReportedOutcome reported) {}
}
