package org.hyssopport.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hyssopport.engine.Answer.JobAnswer;
import org.hyssopport.engine.Answer.JobsAnswer;
import org.hyssopport.engine.Answer.RefusalKind;
import org.hyssopport.engine.work.CloseCause;
import org.hyssopport.engine.work.JobSpec;
import org.hyssopport.engine.work.ProjectedJob;
import org.hyssopport.engine.work.StreamFollower.AppliedRecord;
import org.hyssopport.engine.work.StreamRecord.JobAccepted;
import org.hyssopport.engine.work.StreamRecord.JobCancelled;
import org.hyssopport.engine.work.StreamRecord.TaskClosed;
import org.hyssopport.engine.work.TaskStatus;
import org.hyssopport.policy.Configuration;
import org.hyssopport.policy.Finding;
import org.hyssopport.policy.Resources;
import org.hyssopport.policy.WorkClass;
import org.hyssopport.policy.WorkKind;

/** Accepts job submissions, answers queries about jobs, and cancels jobs. */
final class JobHandler {

  private static final Duration LOG_TIMEOUT = Duration.ofSeconds(5);
  private static final int MAXIMUM_ID_CHARACTERS = 100;
  private static final int MAXIMUM_LISTED_JOBS = 500;

  private final EngineContext context;
  private final FollowedStreams streams;
  private final AppendTracker tracker;
  private final Membership membership;
  private int nextStream;

  JobHandler(
      EngineContext context,
      FollowedStreams streams,
      AppendTracker tracker,
      Membership membership) {
    this.context = context;
    this.streams = streams;
    this.tracker = tracker;
    this.membership = membership;
  }

  void submit(long handle, JobSubmission submission) {
    if (context.isDraining() || context.configuration().isEmpty()) {
      Reason reason = context.isDraining() ? Reason.DRAINING : Reason.NOT_READY;
      context.reply(handle, Answers.unavailable(reason));
      return;
    }
    Configuration configuration = context.configuration().get();
    List<Finding> findings = validate(submission, configuration);
    if (!findings.isEmpty()) {
      boolean unknown = configuration.classNamed(submission.className()).isEmpty();
      RefusalKind kind = unknown ? RefusalKind.NOT_FOUND : RefusalKind.INVALID;
      context.reply(handle, new Answer.Refused(kind, findings));
      return;
    }
    WorkClass workClass = configuration.classNamed(submission.className()).orElseThrow();
    accept(handle, specOf(submission, workClass));
  }

  private List<Finding> validate(JobSubmission submission, Configuration configuration) {
    List<Finding> findings = new ArrayList<>();
    submission.id().ifPresent(id -> validateId(id, findings));
    Optional<WorkClass> workClass = configuration.classNamed(submission.className());
    if (workClass.isEmpty()) {
      findings.add(new Finding("class", "is not known: " + submission.className()));
      return findings;
    }
    if (!workClass.get().kind().isDurable()) {
      findings.add(new Finding("class", "is a service; send it as a request"));
    }
    long maximumTasks =
        Math.min(
            workClass.get().kind().maximumTasks(), configuration.limits().maximumTasksPerJob());
    if (submission.tasks() < 1 || submission.tasks() > maximumTasks) {
      String range = "must be from 1 to " + maximumTasks + ", but is " + submission.tasks();
      findings.add(new Finding("tasks", range));
    }
    if (submission.payload().length() > configuration.limits().maximumBodyBytes()) {
      String limit = "is over " + configuration.limits().maximumBodyBytes() + " bytes";
      findings.add(new Finding("payload", limit));
    }
    boolean deadlinePassed =
        submission.deadline().map(at -> !context.now().isBefore(at)).orElse(false);
    if (deadlinePassed) {
      findings.add(new Finding("deadline", "has passed: " + submission.deadline().get()));
    }
    validateResources(submission, workClass.get(), configuration, findings);
    return findings;
  }

  private static void validateId(String id, List<Finding> findings) {
    boolean wellFormed =
        id.length() <= MAXIMUM_ID_CHARACTERS && id.matches("[A-Za-z0-9][A-Za-z0-9_.-]*");
    if (!wellFormed || FollowedStreams.isGeneratedId(id)) {
      String rule = "must be at most 100 of A-Z, a-z, 0-9, _, . and -, but is " + id;
      findings.add(new Finding("id", rule));
    }
  }

  private void validateResources(
      JobSubmission submission,
      WorkClass workClass,
      Configuration configuration,
      List<Finding> findings) {
    Resources wanted = submission.resources().orElse(workClass.resources());
    if (!wanted.fitsIn(configuration.limits().maximumTask())) {
      findings.add(new Finding("resources", "are over the limit for one task: " + wanted));
    } else if (!membership.fitsAnyWorker(wanted)) {
      findings.add(new Finding("resources", "fit on no worker of the cell: " + wanted));
    }
    int tasksAtOnce = workClass.kind() == WorkKind.GANG ? submission.tasks() : 1;
    configuration
        .teamNamed(workClass.team())
        .filter(team -> !wanted.times(tasksAtOnce).fitsIn(team.quota()))
        .ifPresent(
            team ->
                findings.add(
                    new Finding("resources", "can never fit the quota of " + team.name())));
  }

  private JobSpec specOf(JobSubmission submission, WorkClass workClass) {
    nextStream = (nextStream + 1) % streams.count();
    String id =
        submission
            .id()
            .orElseGet(() -> FollowedStreams.generatedId(ownedStream(), context.newId()));
    return new JobSpec(
        id,
        workClass.name(),
        workClass.kind(),
        workClass.team(),
        submission.resources().orElse(workClass.resources()),
        submission.tasks(),
        submission.payload(),
        submission.deadline().orElse(context.now().plus(workClass.patience())),
        context.now(),
        (int) workClass.maximumAttempts());
  }

  /**
   * Returns the next stream in turn that this failure domain owns, or, if it owns none, the next
   * one in turn.
   */
  private int ownedStream() {
    for (int step = 0; step < streams.count(); step++) {
      int index = (nextStream + step) % streams.count();
      boolean owned =
          streams.projection(index).owner().equals(Optional.of(context.failureDomain()));
      if (owned) {
        return index;
      }
    }
    return nextStream;
  }

  private void accept(long handle, JobSpec spec) {
    Optional<ProjectedJob> existing = streams.job(spec.id());
    if (existing.isPresent()) {
      replyToDuplicate(handle, existing.get(), spec);
      return;
    }
    tracker.append(
        streams.name(streams.homeStream(spec.id())),
        new JobAccepted(spec),
        context.now().plus(LOG_TIMEOUT),
        new SubmitListener(handle, spec));
  }

  private void replyToDuplicate(long handle, ProjectedJob existing, JobSpec spec) {
    boolean same =
        existing.spec().className().equals(spec.className())
            && existing.spec().tasks() == spec.tasks()
            && existing.spec().payload().equals(spec.payload());
    context.reply(
        handle,
        same
            ? new JobAnswer(viewOf(existing))
            : Answers.refused(
                RefusalKind.CONFLICT, "id", "is in use by another job: " + spec.id()));
  }

  void query(long handle, String id) {
    Answer answer =
        streams
            .job(id)
            .<Answer>map(job -> new JobAnswer(viewOf(job)))
            .orElseGet(() -> Answers.notFound("job", id));
    context.reply(handle, answer);
  }

  void list(long handle) {
    List<JobView> views = new ArrayList<>();
    for (int index = 0; index < streams.count(); index++) {
      for (ProjectedJob job : streams.projection(index).jobs()) {
        if (views.size() < MAXIMUM_LISTED_JOBS) {
          views.add(viewOf(job));
        }
      }
    }
    context.reply(handle, new JobsAnswer(views));
  }

  void cancel(long handle, List<String> ids) {
    List<Finding> findings = new ArrayList<>();
    for (int index = 0; index < ids.size(); index++) {
      if (streams.job(ids.get(index)).isEmpty()) {
        findings.add(new Finding("jobs[" + index + "]", "is not known: " + ids.get(index)));
      }
    }
    if (!findings.isEmpty() || ids.isEmpty()) {
      context.reply(handle, new Answer.Refused(RefusalKind.NOT_FOUND, findings));
      return;
    }
    CancelListener listener = new CancelListener(handle, ids);
    for (String id : ids) {
      tracker.append(
          streams.name(streams.homeStream(id)),
          new JobCancelled(id),
          context.now().plus(LOG_TIMEOUT),
          listener);
    }
  }

  /** Records a timeline event for each job that a closed task brought to its end. */
  void onRecordsApplied(List<AppliedRecord> records) {
    for (AppliedRecord applied : records) {
      if (applied.valid() && applied.record() instanceof TaskClosed closed) {
        streams
            .job(closed.job())
            .filter(ProjectedJob::isEnded)
            .ifPresent(
                job ->
                    context.recordTimelineEvent(
                        TimelineKind.JOB_ENDED, closed.job(), viewOf(job).outcome().get()));
      }
    }
  }

  int unfinishedCount() {
    int count = 0;
    for (int index = 0; index < streams.count(); index++) {
      count += streams.projection(index).unfinishedJobs().size();
    }
    return count;
  }

  static JobView viewOf(ProjectedJob job) {
    int done = 0;
    int running = 0;
    for (int index = 0; index < job.taskCount(); index++) {
      TaskStatus task = job.task(index);
      done += task.lastCause().equals(Optional.of(CloseCause.DONE)) ? 1 : 0;
      running += task.phase() == TaskStatus.Phase.OPEN ? 1 : 0;
    }
    int waiting = job.count(TaskStatus.Phase.WAITING) + job.count(TaskStatus.Phase.SETTLED);
    Optional<Outcome> outcome =
        job.isEnded() ? Optional.of(outcomeOf(job, done)) : Optional.empty();
    JobView.State state =
        job.isEnded()
            ? JobView.State.ENDED
            : running > 0 ? JobView.State.RUNNING : JobView.State.WAITING;
    return new JobView(
        job.spec().id(),
        job.spec().className(),
        state,
        outcome,
        outcome.map(each -> reasonOf(job, each)).orElse(Reason.UNFINISHED),
        job.taskCount(),
        waiting,
        running,
        done,
        job.acceptedAt());
  }

  private static Outcome outcomeOf(ProjectedJob job, int done) {
    if (done == job.taskCount()) {
      return Outcome.DONE;
    }
    boolean anyRan = false;
    for (int index = 0; index < job.taskCount(); index++) {
      anyRan = anyRan || job.task(index).everRan();
    }
    return anyRan ? Outcome.FAILED : Outcome.NOT_RUN;
  }

  private static Reason reasonOf(ProjectedJob job, Outcome outcome) {
    if (outcome == Outcome.DONE) {
      return Reason.COMPLETED;
    }
    return job.isCancelled() ? Reason.CANCELLED : Reason.ATTEMPTS_USED_UP;
  }

  /** Answers a submission once its record is applied, refused or not read back in time. */
  private final class SubmitListener implements AppendTracker.Listener {

    private final long handle;
    private final JobSpec spec;

    private SubmitListener(long handle, JobSpec spec) {
      this.handle = handle;
      this.spec = spec;
    }

    @Override
    public void onApplied(boolean valid) {
      ProjectedJob job = streams.job(spec.id()).orElseThrow();
      if (valid) {
        context.recordTimelineEvent(TimelineKind.JOB_ACCEPTED, spec.id(), spec.className());
        context.reply(handle, new JobAnswer(viewOf(job)));
      } else {
        replyToDuplicate(handle, job, spec);
      }
    }

    @Override
    public void onRefused() {
      context.reply(handle, Answers.unavailable(Reason.LOG_UNAVAILABLE));
    }

    @Override
    public void onExpired() {
      String text = Reason.LOG_ANSWER_LOST.text() + ": " + spec.id();
      context.reply(handle, Answers.refused(RefusalKind.UNKNOWN_OUTCOME, "id", text));
    }
  }

  /**
   * Answers a cancellation once the record of every job is applied, refused or not read back in
   * time.
   */
  private final class CancelListener implements AppendTracker.Listener {

    private final long handle;
    private final List<String> ids;
    private int pendingAppends;
    private boolean failed;

    private CancelListener(long handle, List<String> ids) {
      this.handle = handle;
      this.ids = ids;
      this.pendingAppends = ids.size();
    }

    @Override
    public void onApplied(boolean valid) {
      completeOne();
    }

    @Override
    public void onRefused() {
      failed = true;
      completeOne();
    }

    @Override
    public void onExpired() {
      failed = true;
      completeOne();
    }

    private void completeOne() {
      pendingAppends--;
      if (pendingAppends > 0) {
        return;
      }
      if (failed) {
        String text = Reason.LOG_ANSWER_LOST.text();
        context.reply(handle, Answers.refused(RefusalKind.UNKNOWN_OUTCOME, "jobs", text));
        return;
      }
      List<JobView> views = new ArrayList<>();
      ids.forEach(id -> streams.job(id).ifPresent(job -> views.add(viewOf(job))));
      context.reply(handle, new JobsAnswer(views));
    }
  }
}
