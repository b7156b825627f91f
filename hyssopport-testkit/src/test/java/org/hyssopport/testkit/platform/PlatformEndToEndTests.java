package org.hyssopport.testkit.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.policy.Resources;
import org.hyssopport.testkit.world.SimulatedWorkers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs members as processes that serve callers over HTTP and use the platform's stand-ins. */
class PlatformEndToEndTests extends AbstractEndToEndTests {

  private static final int ATTEMPTS = 2;
  private static final int MEMBER_COUNT = 3;
  private static final long NO_TERM = -1;
  private static final Pattern TERM = Pattern.compile("\"term\":\"?(\\d+)");

  private final List<MemberProcess> members = new ArrayList<>();
  private StoreStandIn store;
  private WorkersStandIn workers;
  private int lastJobNumber;

  @TempDir Path directory;

  @BeforeEach
  void start() throws Exception {
    store = StoreStandIn.open(LoopbackHosts.host(100));
    workers = WorkersStandIn.open(LoopbackHosts.host(101), 6, Resources.of(64, 262_144, 0), store);
    store.put("keyed.op", "config", configuration(3));
    for (int number = 1; number <= MEMBER_COUNT; number++) {
      members.add(MemberProcess.start(directory, number, store.address(), workers.address()));
    }
    for (MemberProcess member : members) {
      await(() -> get(member.readinessAddress(), "/api/ready").statusCode() == 200);
    }
  }

  @AfterEach
  void stop() {
    members.forEach(MemberProcess::close);
    workers.close();
    store.close();
  }

  private static String configuration(int version) {
    return configuration(version, 5);
  }

  private static String configuration(int version, int adviceMillis) {
    ObjectNode node = PlatformHttpServer.MAPPER.createObjectNode().put("version", version);
    ObjectNode route = node.putArray("routes").addObject();
    route.put("name", "plans").put("host", LoopbackHosts.host(1)).put("prefix", "/plans/");
    route.put("service", SimulatedWorkers.SERVICE).put("attempts", ATTEMPTS).put("stretch", 2.0);
    route.put("sloMs", 1000);
    route.putObject("advice").put("decideMs", adviceMillis).put("eachMs", 0.1).put("validMs", 1500);
    return node.toString();
  }

  private HttpResponse<String> post(MemberProcess member, String path, String body)
      throws Exception {
    return send(requestTo(member, path).POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  private static HttpRequest.Builder requestTo(MemberProcess member, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + member.callerAddress() + path));
  }

  /** Sends a request whose caller waits as long as the test, without waiting for the answer. */
  private CompletableFuture<HttpResponse<String>> sendAsync(HttpRequest.Builder request) {
    return client.sendAsync(
        request
            .timeout(AWAIT_TIMEOUT)
            .header("Hyssopport-Deadline-Ms", String.valueOf(AWAIT_TIMEOUT.toMillis()))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** Submits a job of one step until it is accepted; only the first member's host has a route. */
  private JobId submit(MemberProcess member, int tasks, int millis) throws Exception {
    JobId id = recordJob(tasks, millis);
    String body = jobBody(tasks, millis);
    await(() -> post(member, "/plans/" + id, body).statusCode() == 200);
    return id;
  }

  private static String jobBody(int tasks, int millis) {
    return jobBody(tasks, millis, false);
  }

  private static String jobBody(int tasks, int millis, boolean gang) {
    ObjectNode body = PlatformHttpServer.MAPPER.createObjectNode().put("spec", "text");
    ObjectNode step = body.putArray("steps").addObject();
    step.put("count", tasks).put("cpu", 1000).put("memMb", 100).put("estMs", millis);
    step.put("gang", gang);
    return body.toString();
  }

  /** Tells the checker of runs that a job of one step is about to be submitted. */
  private JobId recordJob(int tasks, int millis) {
    return recordJob(tasks, millis, false);
  }

  private JobId recordJob(int tasks, int millis, boolean gang) {
    lastJobNumber++;
    JobId id = new JobId(String.format("%016x", lastJobNumber));
    StepDefinition definition =
        new StepDefinition(
            tasks,
            new Resources(1000, 100, 0),
            Duration.ofMillis(millis),
            List.of(),
            false,
            gang,
            false,
            Optional.empty(),
            Optional.empty(),
            0,
            false,
            false);
    workers.runChecker().recordSubmission(id, List.of(definition), ATTEMPTS);
    return id;
  }

  private void awaitState(MemberProcess member, JobId id, String state) throws Exception {
    await(() -> get(member.callerAddress(), "/plans/" + id).body().contains(state));
  }

  /** Kills the first member and starts it again under its address, below another scheduler. */
  private void restartFirstMember() throws Exception {
    members.get(0).kill();
    await(() -> logOfOtherMembers().contains("term begun"));
    MemberProcess restarted = MemberProcess.start(directory, 1, store.address(), workers.address());
    members.set(0, restarted);
    await(() -> restarted.log().contains("scheduler of a newer term found"));
    await(() -> get(restarted.readinessAddress(), "/api/ready").statusCode() == 200);
  }

  /**
   * Kills the scheduler and waits until another member, or another process of its member, has begun
   * a term. The first member, which serves the callers, is started again if it was the scheduler.
   */
  private void killScheduler() throws Exception {
    await(() -> newestTerm() != NO_TERM);
    long killedTerm = newestTerm();
    MemberProcess scheduler =
        members.stream().filter(member -> termOf(member) == killedTerm).findFirst().orElseThrow();
    scheduler.kill();
    assertEquals(killedTerm, newestTerm(), "the killed member was no longer the scheduler");
    assertFalse(scheduler.isAlive());
    int index = members.indexOf(scheduler);
    if (index == 0) {
      MemberProcess restarted =
          MemberProcess.start(directory, 1, store.address(), workers.address());
      members.set(0, restarted);
      await(() -> get(restarted.readinessAddress(), "/api/ready").statusCode() == 200);
    }
    await(() -> newestTerm() > killedTerm);
  }

  private long newestTerm() {
    return members.stream().mapToLong(PlatformEndToEndTests::termOf).max().orElseThrow();
  }

  /** Returns the last term that a member has begun, or {@link #NO_TERM}. */
  private static long termOf(MemberProcess member) {
    try {
      return member
          .log()
          .lines()
          .filter(line -> line.contains("\"term begun\""))
          .map(TERM::matcher)
          .filter(Matcher::find)
          .mapToLong(matcher -> Long.parseLong(matcher.group(1)))
          .max()
          .orElse(NO_TERM);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String logOfOtherMembers() throws IOException {
    return members.get(1).log() + members.get(2).log();
  }

  private boolean otherMembersLogged(String event, JobId id) throws IOException {
    return logOfOtherMembers()
        .lines()
        .anyMatch(line -> line.contains("\"" + event + "\"") && line.contains(id.text()));
  }

  @Test
  void jobsAreServedFromEndToEnd() throws Exception {
    MemberProcess firstMember = members.get(0);
    JobId job = submit(firstMember, 5, 200);
    awaitState(firstMember, job, "complete");
    assertEquals(404, post(firstMember, "/elsewhere/" + job, "{}").statusCode());
    assertEquals(400, post(firstMember, "/plans/no-id", "{}").statusCode());
    assertEquals(400, post(firstMember, "/plans/00000000000000ff", "[]").statusCode());
    assertEquals(410, get(firstMember.callerAddress(), "/plans/00000000000000ff").statusCode());
    assertEquals("{\"pending\":0}", get(firstMember.callerAddress(), "/plans/").body());
    assertEquals(List.of(), workers.runChecker().findings());
  }

  // Three tasks failed in the first of two attempts, and the gang was given up.
  @Test
  void gangsOfWhichSeveralTasksFailTogetherUseOneAttempt() throws Exception {
    MemberProcess firstMember = members.get(0);
    JobId job = recordJob(4, 300, true);
    workers.failGangs(job, ATTEMPTS - 1, 3);
    String body = jobBody(4, 300, true);
    await(() -> post(firstMember, "/plans/" + job, body).statusCode() == 200);
    awaitState(firstMember, job, "complete");
    JobId hopeless = recordJob(4, 300, true);
    workers.failGangs(hopeless, 1000, 3);
    await(() -> post(firstMember, "/plans/" + hopeless, body).statusCode() == 200);
    awaitState(firstMember, hopeless, "failed");
    assertTrue(workers.runChecker().isOutOfAttempts(hopeless));
    assertEquals(List.of(), workers.runChecker().findings());
  }

  // The test looked for the scheduler among the second and the third member only, and killed nobody
  // if the first one led.
  @Test
  void jobsSurviveSchedulerFailures() throws Exception {
    MemberProcess firstMember = members.get(0);
    List<JobId> jobs = new ArrayList<>();
    for (int round = 0; round < 4; round++) {
      jobs.add(submit(firstMember, 4, 1500));
    }
    killScheduler();
    jobs.add(submit(members.get(0), 4, 300));
    for (JobId job : jobs) {
      awaitState(members.get(0), job, "complete");
    }
    assertEquals(List.of(), workers.runChecker().findings());
  }

  @Test
  void noJobIsLostWhenTheStoreLosesAnswersAndCompactsTopics() throws Exception {
    MemberProcess firstMember = members.get(0);
    store.loseNextAnswers(3);
    JobId job = submit(firstMember, 3, 300);
    store.compact("keyed.jobs");
    store.compact("keyed.op");
    store.put("keyed.op", "config", configuration(9));
    JobId secondJob = submit(firstMember, 3, 300);
    awaitState(firstMember, job, "complete");
    awaitState(firstMember, secondJob, "complete");
    assertEquals(List.of(), workers.runChecker().findings());
  }

  @Test
  void nothingIsAcceptedWhileTheStoreIsDown() throws Exception {
    MemberProcess firstMember = members.get(0);
    JobId running = submit(firstMember, 2, 1000);
    store.setDown(true);
    HttpResponse<String> answer =
        post(firstMember, "/plans/00000000000000aa", "{\"steps\":[{\"count\":1}]}");
    assertEquals(503, answer.statusCode());
    assertTrue(answer.headers().firstValue("Retry-After").isPresent());
    store.setDown(false);
    awaitState(firstMember, running, "complete");
    assertEquals(List.of(), workers.runChecker().findings());
  }

  @Test
  void membersExitWhenTerminated() throws Exception {
    assertEquals(0, members.get(2).stop());
    JobId job = submit(members.get(0), 2, 200);
    awaitState(members.get(0), job, "complete");
  }

  // A member that restarted answered a request with the answer that the scheduler owed to the
  // process before it, whose request had the same number.
  @Test
  void answersOwedToKilledMembersDoNotCompleteRequestsOfTheirSuccessors() throws Exception {
    restartFirstMember();
    JobId running = submit(members.get(0), 1, 60_000);
    awaitState(members.get(0), running, "running");
    restartFirstMember();
    store.holdAppends("keyed.jobs");
    JobId accepted = recordJob(2, 200);
    HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofString(jobBody(2, 200));
    CompletableFuture<HttpResponse<String>> submission =
        sendAsync(requestTo(members.get(0), "/plans/" + accepted).POST(body));
    await(() -> otherMembersLogged("accepted", accepted) && store.heldAppendCount() == 1);
    restartFirstMember();
    assertThrows(ExecutionException.class, submission::get);
    CompletableFuture<HttpResponse<String>> cancellation =
        sendAsync(requestTo(members.get(0), "/plans/" + running).DELETE());
    await(() -> otherMembersLogged("cancelled", running));
    store.releaseOneAppend();
    // The scheduler answers the submission before it stores the cancellation.
    await(() -> store.heldAppendCount() == 2);
    assertThrows(
        TimeoutException.class, () -> cancellation.get(500, TimeUnit.MILLISECONDS).statusCode());
    await(() -> members.get(0).log().contains("answer to an earlier process dropped"));
    store.releaseAppends();
    assertEquals(200, cancellation.get().statusCode());
    awaitState(members.get(0), running, "cancelled");
    awaitState(members.get(0), accepted, "complete");
    assertEquals(List.of(), workers.runChecker().findings());
  }

  // A start carried the ticket of another step, since the call for that step's advice, in an
  // earlier term of the same member, had the same number.
  @Test
  void adviceOwedToEarlierTermsIsNotUsedForOtherSteps() throws Exception {
    MemberProcess firstMember = members.get(0);
    members.get(1).kill();
    members.get(2).kill();
    await(() -> termsBegun(firstMember) > 0);
    store.put("keyed.op", "config", configuration(4, 20_000));
    await(() -> firstMember.log().contains("\"version\":4"));
    workers.holdAdvice();
    JobId cancelledJob = submit(firstMember, 1, 200);
    await(() -> workers.hasHeldAdvice(cancelledJob));
    String path = "/plans/" + cancelledJob;
    await(() -> send(requestTo(firstMember, path).DELETE()).statusCode() == 200);
    long earlierTerms = termsBegun(firstMember);
    store.fenceNextAppend("keyed.jobs");
    JobId job = submit(firstMember, 1, 200);
    await(() -> workers.hasHeldAdvice(job));
    await(() -> termsBegun(firstMember) == earlierTerms + 1);
    workers.releaseAdvice(cancelledJob);
    await(
        () ->
            firstMember.log().contains("\"advice for another term dropped\"")
                || !workers.refusedTickets().isEmpty());
    assertEquals(List.of(), workers.refusedTickets());
    workers.releaseAdvice(job);
    awaitState(firstMember, job, "complete");
    assertEquals(List.of(), workers.refusedTickets());
    assertEquals(List.of(), workers.runChecker().findings());
  }

  private static long termsBegun(MemberProcess member) throws IOException {
    return member.log().lines().filter(line -> line.contains("\"term begun\"")).count();
  }
}
