package org.hyssopport.testkit.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Answer.RefusalKind;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.JobSubmission;
import org.hyssopport.engine.JobView;
import org.hyssopport.engine.Outcome;
import org.hyssopport.engine.ServiceRequest;
import org.hyssopport.policy.Configuration;
import org.hyssopport.testkit.oracle.ReportedOutcome;
import org.hyssopport.testkit.oracle.ReportedOutcome.ExecutionGuarantee;
import org.hyssopport.testkit.oracle.ReportedOutcome.Verdict;
import org.hyssopport.testkit.standin.WorkScript;

/**
 * The callers and operators of a fake cell: they send work and record the answers.
 *
 * @since 0.1
 */
public final class CellCallers {

  private static final String GANG_CLASS = "joint";
  private static final Duration KEY_LIFETIME = Duration.ofMinutes(4);

  private final FakeCell cell;
  private final List<Submission> submissions = new ArrayList<>();
  private final Map<String, String> acceptedJobs = new LinkedHashMap<>();
  private final Map<String, JobView> lastViews = new LinkedHashMap<>();
  private int lastNumber;
  private int publicationsAccepted;

  private CellCallers(FakeCell cell) {
    this.cell = cell;
  }

  /** Returns callers for the given cell. */
  public static CellCallers of(FakeCell cell) {
    return new CellCallers(cell);
  }

  private String newPayload(long runMillis) {
    return newPayload(runMillis, false);
  }

  private String newPayload(long runMillis, boolean fails) {
    lastNumber++;
    return "{\"runMillis\":" + runMillis + ",\"fails\":" + fails + ",\"n\":" + lastNumber + "}";
  }

  /** Sends a request that may safely run more than once. */
  public Submission request(String entry, String service, long runMillis, Duration patience) {
    Submission submission = track(newPayload(runMillis), ExecutionGuarantee.REPEATABLE);
    send(entry, submission, service, patience, Optional.empty(), Optional.empty());
    return submission;
  }

  /** Gets a ticket from one instance and sends the same request with it to every receiver. */
  public void requestByTicket(
      String issuer, List<String> receivers, String service, long runMillis) {
    cell.call(
        issuer,
        Event.TicketRequested::new,
        answer -> {
          if (answer instanceof Answer.TicketAnswer ticket) {
            String payload = newPayload(runMillis);
            for (String receiver : receivers) {
              Submission copy = track(payload, ExecutionGuarantee.AT_MOST_ONCE);
              Optional<String> text = Optional.of(ticket.ticket());
              send(receiver, copy, service, Duration.ofSeconds(4), text, Optional.empty());
            }
          }
        });
  }

  /** Sends the same request with one caller-chosen idempotency key to every receiver. */
  public void requestByKey(List<String> receivers, String service, long runMillis) {
    String payload = newPayload(runMillis);
    Optional<String> key = Optional.of("key-" + lastNumber);
    for (String receiver : receivers) {
      Submission copy = track(payload, ExecutionGuarantee.AT_MOST_ONCE);
      send(receiver, copy, service, Duration.ofSeconds(4), Optional.empty(), key);
    }
  }

  private Submission track(String payload, ExecutionGuarantee guarantee) {
    Submission submission = new Submission(payload, guarantee);
    submissions.add(submission);
    return submission;
  }

  private void send(
      String entry,
      Submission submission,
      String service,
      Duration patience,
      Optional<String> ticket,
      Optional<String> key) {
    ServiceRequest request =
        new ServiceRequest(
            service,
            Optional.of(cell.now().plus(patience)),
            submission.guarantee == ExecutionGuarantee.REPEATABLE,
            ticket,
            key,
            key.map(text -> cell.now().plus(KEY_LIFETIME)),
            submission.payload);
    cell.call(
        entry,
        handle -> new Event.RequestReceived(handle, request),
        answer -> submission.recordAnswer(answer));
  }

  /** Submits a job. */
  public Submission submit(
      String entry, String className, int tasks, long runMillis, boolean fails) {
    ExecutionGuarantee guarantee =
        className.equals(GANG_CLASS) ? ExecutionGuarantee.GANG_JOB : ExecutionGuarantee.JOB;
    Submission submission = track(newPayload(runMillis, fails), guarantee);
    JobSubmission job =
        new JobSubmission(
            Optional.empty(),
            className,
            tasks,
            Optional.empty(),
            Optional.empty(),
            submission.payload);
    cell.call(
        entry,
        handle -> new Event.JobSubmitted(handle, job),
        answer -> {
          submission.recordAnswer(answer);
          if (answer instanceof Answer.JobAnswer accepted) {
            acceptedJobs.put(submission.payload, accepted.view().id());
          }
        });
    return submission;
  }

  /** Cancels the given number of the most recently accepted jobs. */
  public void cancel(String entry, int count) {
    List<String> ids = new ArrayList<>(acceptedJobs.values());
    List<String> latest = ids.subList(Math.max(0, ids.size() - count), ids.size());
    if (!latest.isEmpty()) {
      List<String> chosen = List.copyOf(latest);
      cell.call(entry, handle -> new Event.JobCancellationRequested(handle, chosen), answer -> {});
    }
  }

  /** Publishes a configuration that replaces the given base version. */
  public void publish(
      String entry, long base, Configuration configuration, Consumer<Answer> answer) {
    cell.call(
        entry,
        handle -> new Event.ConfigurationPublishRequested(handle, base, configuration.toJson()),
        received -> {
          publicationsAccepted += received instanceof Answer.ConfigurationAnswer ? 1 : 0;
          answer.accept(received);
        });
  }

  /** Returns the number of configuration publications that were accepted. */
  public int publicationsAccepted() {
    return publicationsAccepted;
  }

  /** Queries the state of every accepted job from an instance. */
  public void refreshJobs(String entry) {
    acceptedJobs.forEach(
        (payload, id) ->
            cell.call(
                entry,
                handle -> new Event.JobQueried(handle, id),
                answer -> {
                  if (answer instanceof Answer.JobAnswer job) {
                    lastViews.put(payload, job.view());
                  }
                }));
  }

  /** Returns the id and last view of each accepted job whose last view does not show its end. */
  public List<String> unfinishedJobs() {
    List<String> unfinished = new ArrayList<>();
    acceptedJobs.forEach(
        (payload, id) -> {
          JobView view = lastViews.get(payload);
          if (view == null || view.state() != JobView.State.ENDED) {
            unfinished.add(id + " " + view);
          }
        });
    return unfinished;
  }

  /** Returns the payloads of the requests and jobs that were not answered. */
  public List<String> unanswered() {
    return submissions.stream()
        .filter(submission -> submission.verdict.isEmpty())
        .map(submission -> submission.payload)
        .toList();
  }

  /** Returns all submissions. */
  public List<Submission> submissions() {
    return List.copyOf(submissions);
  }

  /** Adds the outcomes that were reported for all submissions to the cell's history. */
  public void addOutcomesToHistory() {
    for (Submission submission : submissions) {
      cell.history().add(submission.reportedOutcome(lastViews.get(submission.payload)));
    }
  }

  /** A request or job that a caller sent, and the answer to it. */
  public static final class Submission {

    private final String payload;
    private final ExecutionGuarantee guarantee;
    private Optional<Verdict> verdict = Optional.empty();
    private Optional<String> body = Optional.empty();

    private Submission(String payload, ExecutionGuarantee guarantee) {
      this.payload = payload;
      this.guarantee = guarantee;
    }

    /** Returns the outcome in the answer, if there was one. */
    public Optional<Verdict> verdict() {
      return verdict;
    }

    private void recordAnswer(Answer answer) {
      if (answer instanceof Answer.RequestAnswer request) {
        verdict = Optional.of(verdictOf(request.outcome()));
        body = request.body();
      } else if (answer instanceof Answer.Refused refused) {
        boolean unknown = refused.kind() == RefusalKind.UNKNOWN_OUTCOME;
        verdict = Optional.of(unknown ? Verdict.UNKNOWN : Verdict.NOT_RUN);
      } else {
        verdict = Optional.of(Verdict.UNKNOWN);
      }
    }

    private static Verdict verdictOf(Outcome outcome) {
      return switch (outcome) {
        case DONE -> Verdict.DONE;
        case FAILED -> Verdict.FAILED;
        case NOT_RUN -> Verdict.NOT_RUN;
        case UNKNOWN -> Verdict.UNKNOWN;
      };
    }

    private ReportedOutcome reportedOutcome(JobView view) {
      Verdict lastVerdict = verdict.orElse(Verdict.UNKNOWN);
      if (view != null && view.outcome().isPresent()) {
        lastVerdict = verdictOf(view.outcome().get());
      }
      Optional<String> expectedBody =
          guarantee == ExecutionGuarantee.JOB || guarantee == ExecutionGuarantee.GANG_JOB
              ? Optional.empty()
              : Optional.of(WorkScript.answerTo(payload));
      return new ReportedOutcome(payload, guarantee, lastVerdict, body, expectedBody);
    }
  }
}
