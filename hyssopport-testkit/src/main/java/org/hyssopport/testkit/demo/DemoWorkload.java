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
 * A firm's day against running processes: it asks, notes what it is told, and has it judged.
 *
 * @since 0.1
 */
public final class DemoWorkload {

  private static final int CHECKS = 300;
  private static final int TICKETED_BOOKINGS = 30;
  private static final int KEYED_BOOKINGS = 12;
  private static final int PLANS = 12;
  private static final int TASKS_PER_PLAN = 3;
  private static final int GANG_TASKS = 6;
  private static final int CALLERS = 16;
  private static final Duration PATIENCE = Duration.ofSeconds(60);
  private static final Duration KEY_LIFETIME = Duration.ofMinutes(30);

  private final CellLayout layout;
  private final DemoHttpClient probe = DemoHttpClient.create();
  private final InstantSource clock = InstantSource.system();
  private final PrintStream out;
  private final Firm.WorkClassNames plan;
  private final ConcurrentLinkedQueue<LabelledOutcome> lines = new ConcurrentLinkedQueue<>();
  private final List<String> faults = new ArrayList<>();

  private DemoWorkload(CellLayout layout, PrintStream out) {
    this.layout = layout;
    this.out = out;
    this.plan = layout.firm().dayPlan();
  }

  /** Runs the day and returns whether all that was told agrees with what was run. */
  public static boolean run(CellLayout layout, PrintStream out) {
    return new DemoWorkload(layout, out).run();
  }

  private boolean run() {
    askServices();
    askJobs();
    History history = gather();
    List<String> violations = Oracle.check(history);
    printTable();
    violations.forEach(each -> out.println("VIOLATION " + each));
    faults.forEach(each -> out.println("FAULT " + each));
    return violations.isEmpty() && faults.isEmpty();
  }

  private String entry(int number) {
    List<LiveInstance> entries = layout.entries();
    return entries.get(number % entries.size()).address();
  }

  private void askServices() {
    ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    for (int number = 0; number < CHECKS; number++) {
      int each = number;
      callers.execute(() -> check(each));
    }
    for (int number = 0; number < TICKETED_BOOKINGS; number++) {
      int each = number;
      callers.execute(() -> bookByTicket(each));
    }
    for (int number = 0; number < KEYED_BOOKINGS; number++) {
      int each = number;
      callers.execute(() -> bookByKey(each));
    }
    callers.shutdown();
    try {
      if (!callers.awaitTermination(PATIENCE.toSeconds(), TimeUnit.SECONDS)) {
        faults.add("some callers got no answer in " + PATIENCE);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private ObjectNode request(String service, String body) {
    ObjectNode request = Json.mapper().createObjectNode();
    request.put("service", service);
    request.put("body", body);
    return request;
  }

  private void check(int number) {
    String body = "{\"runMillis\":" + (10 + number % 40) + ",\"check\":" + number + "}";
    ask("check", entry(number), request(plan.check(), body), ExecutionGuarantee.REPEATABLE, body);
  }

  /** Sends the same ticket to two instances, as a caller does whose first answer got lost. */
  private void bookByTicket(int number) {
    Optional<DemoHttpClient.Response> issued = probe.post(entry(number), "/tickets", "{}");
    if (issued.isEmpty()) {
      synchronized (faults) {
        faults.add("no ticket from " + entry(number));
      }
      return;
    }
    String ticket = issued.get().json().path("ticket").asText();
    String body = "{\"runMillis\":25,\"deposit\":" + number + "}";
    ObjectNode request = request(plan.booking(), body);
    request.put("ticket", ticket);
    ask("booking by ticket", entry(number), request, ExecutionGuarantee.AT_MOST_ONCE, body);
    ask("the same again", entry(number + 1), request, ExecutionGuarantee.AT_MOST_ONCE, body);
  }

  private void bookByKey(int number) {
    String key = layout.firm() + "-day-" + clock.millis() + "-" + number;
    String body = "{\"runMillis\":25,\"pickup\":" + number + "}";
    ObjectNode request = request(plan.booking(), body);
    request.put("key", key);
    request.put("keyExpiry", clock.instant().plus(KEY_LIFETIME).toEpochMilli());
    ask("booking by key", entry(number), request, ExecutionGuarantee.AT_MOST_ONCE, body);
    ask("the same again", entry(number + 4), request, ExecutionGuarantee.AT_MOST_ONCE, body);
  }

  private void ask(
      String what, String address, ObjectNode request, ExecutionGuarantee sort, String body) {
    Optional<DemoHttpClient.Response> page = probe.post(address, "/requests", request);
    JsonNode answer =
        page.map(DemoHttpClient.Response::json).orElseGet(() -> Json.mapper().createObjectNode());
    Verdict verdict =
        answer.has("outcome") ? Verdict.valueOf(answer.path("outcome").asText()) : Verdict.UNKNOWN;
    Optional<String> told =
        answer.has("body") ? Optional.of(answer.path("body").asText()) : Optional.empty();
    Optional<String> right = Optional.of(WorkScript.answerTo(body));
    lines.add(new LabelledOutcome(what, new ReportedOutcome(body, sort, verdict, told, right)));
  }

  private void askJobs() {
    Map<String, String> payloads = new LinkedHashMap<>();
    for (int number = 0; number < PLANS; number++) {
      submit(plan.plan(), TASKS_PER_PLAN, 150 + 50L * (number % 5), number, payloads);
    }
    submit(plan.jointPlan(), GANG_TASKS, 400, PLANS, payloads);
    Instant end = clock.instant().plus(PATIENCE);
    payloads.forEach((id, payload) -> awaitJob(id, payload, end));
  }

  private void submit(
      String className, int tasks, long runMillis, int number, Map<String, String> payloads) {
    ObjectNode job = Json.mapper().createObjectNode();
    job.put("class", className);
    job.put("tasks", tasks);
    String payload = "{\"runMillis\":" + runMillis + ",\"job\":" + number + "}";
    job.put("payload", payload);
    Optional<DemoHttpClient.Response> page = probe.post(entry(number), "/jobs", job);
    if (page.isPresent() && page.get().status() == 200) {
      payloads.put(page.get().json().path("id").asText(), payload);
    } else {
      faults.add("job " + className + " was not accepted: " + page);
    }
  }

  private void awaitJob(String id, String payload, Instant end) {
    JsonNode view = Json.mapper().createObjectNode();
    while (clock.instant().isBefore(end)) {
      view =
          probe
              .get(entry(id.length()), "/jobs/" + id)
              .map(DemoHttpClient.Response::json)
              .orElseGet(() -> Json.mapper().createObjectNode());
      if (view.path("state").asText().equals("ENDED")) {
        break;
      }
      pause();
    }
    Verdict verdict =
        view.has("outcome") ? Verdict.valueOf(view.path("outcome").asText()) : Verdict.UNKNOWN;
    String what = view.path("className").asText(id);
    ReportedOutcome told =
        new ReportedOutcome(
            payload, ExecutionGuarantee.JOB, verdict, Optional.empty(), Optional.empty());
    lines.add(new LabelledOutcome(what + " job", told));
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private History gather() {
    History history = History.empty();
    lines.forEach(line -> history.add(line.told()));
    for (LiveInstance worker : layout.workers()) {
      history.add(
          new Capacity(
              worker.name(),
              worker.capacity().milliProcessors(),
              worker.capacity().memoryMebibytes(),
              worker.capacity().accelerators(),
              worker.slots()));
      Optional<DemoHttpClient.Response> page = probe.get(worker.address(), "/history");
      if (page.isEmpty()) {
        faults.add("no history from " + worker.name());
      } else {
        page.get().json().forEach(node -> history.add(runOf(node)));
      }
    }
    return history;
  }

  private static Run runOf(JsonNode node) {
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
    for (LabelledOutcome line : lines) {
      table
          .computeIfAbsent(line.what(), what -> new TreeMap<>())
          .merge(line.told().verdict(), 1, Integer::sum);
      if (line.told().verdict() != Verdict.DONE) {
        faults.add(line.what() + " " + line.told().payload() + " ended " + line.told().verdict());
      }
    }
    out.printf("%-24s %6s  %s%n", "asked", "count", "told");
    table.forEach(
        (what, verdicts) -> {
          int count = verdicts.values().stream().mapToInt(Integer::intValue).sum();
          out.printf("%-24s %6d  %s%n", what, count, verdicts);
        });
  }

  /**
   * One line of what was asked.
   *
   * @param what the sort of work
   * @param told what was told
   */
  private record LabelledOutcome(String what, ReportedOutcome told) {}
}
