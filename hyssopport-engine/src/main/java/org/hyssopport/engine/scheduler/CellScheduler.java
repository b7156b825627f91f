package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hyssopport.engine.advice.AdviceDispatcher;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.quota.OrganisationSharing;
import org.hyssopport.engine.quota.OrganisationUsage;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.worker.TrackedWorker;
import org.hyssopport.engine.worker.WorkerDescription;

/**
 * The scheduler of a cell during one term.
 *
 * <p>Turns events into effects, which its host carries out. Performs no input or output and reads
 * no clock, so that a simulation can drive it. Not thread-safe: the host makes all calls from one
 * thread.
 *
 * @since 0.2
 */
public final class CellScheduler {

  /** Retry-After while the store can't be reached: a typical short outage is over by then. */
  private static final Duration STORE_RETRY = Duration.ofSeconds(1);

  /**
   * How long after a read of the journal an unknown job is taken for one that does not exist: half
   * of the time after which an accepted job must be known, since the answer also takes time.
   */
  private static final Duration MAXIMUM_JOURNAL_AGE = Duration.ofMillis(1500);

  /** Several reads of the journal are sent in this time, unless they fail. */
  private static final Duration CANCELLATION_WAIT = Duration.ofSeconds(1);

  private final SchedulerContext context;
  private final JobRegistry jobs = new JobRegistry();
  private final OrganisationSharing sharing = OrganisationSharing.create();
  private final TrackedWorkerRegistry workers = new TrackedWorkerRegistry(sharing.usage());
  private final JournalQueue journal = new JournalQueue();
  private final AdviceDispatcher adviceDispatcher = AdviceDispatcher.create();
  private final JournalRecovery journalRecovery;
  private final JobRetention retention;
  private final JobAccess access;
  private final RunManager runManager;
  private final WorkerIncarnations incarnations;
  private final PlacementManager placement;
  private final WorkerPoller poller;
  private final AdmissionManager admission;
  private final QueueFollower queueFollower;

  /** The cancellations of unknown jobs that wait for a read of the journal, in their order. */
  private final Deque<WaitingCancellation> waitingCancellations = new ArrayDeque<>();

  private final UnknownJobCancellations unknownJobCancellations;

  /** The callers that cancel a job whose acceptance is neither stored nor refused yet. */
  private final Map<JobId, List<EarlyCancellation>> cancellingBeforeStored = new HashMap<>();

  /** The callers that wait until the acceptance of a job is stored or refused. */
  private final Map<JobId, List<CallerRequestId>> awaitingAcceptance = new HashMap<>();

  private boolean recovered;
  private boolean storeAvailable = true;
  private Optional<Instant> journalReadAt = Optional.empty();

  /**
   * A cancellation of an unknown job, which waits for a read of the journal that is sent after it
   * arrived.
   */
  private record WaitingCancellation(
      CallerRequestId caller, CallerRequest.Cancel request, Instant arrivedAt, Instant giveUpAt) {

    private JobId job() {
      return request.job();
    }
  }

  /** A cancellation of a job whose acceptance is neither stored nor refused yet. */
  private record EarlyCancellation(CallerRequestId caller, CallerRequest.Cancel request) {}

  private CellScheduler(SchedulerSettings settings) {
    context = new SchedulerContext(settings);
    unknownJobCancellations = new UnknownJobCancellations(settings.retention());
    journalRecovery = new JournalRecovery(context, jobs, workers);
    retention = new JobRetention(context, jobs, journal, sharing.usage());
    access = new JobAccess(context, jobs);
    runManager = new RunManager(context, jobs, workers, journal, sharing.limits());
    incarnations = new WorkerIncarnations(context, jobs, workers, runManager);
    placement = new PlacementManager(context, jobs, workers, runManager, adviceDispatcher, sharing);
    poller = new WorkerPoller(context, workers, runManager, incarnations);
    admission = new AdmissionManager(context, jobs, workers, sharing.limits());
    queueFollower = new QueueFollower(context, jobs, runManager, placement);
  }

  /** Returns a scheduler that has not read the journal yet. */
  public static CellScheduler create(SchedulerSettings settings) {
    return new CellScheduler(settings);
  }

  /**
   * Applies an event to the state of the scheduler.
   *
   * @param event the event
   * @param now the reading of the local monotonic clock
   * @param wallClockTime the current wall-clock time, which only says which jobs on a schedule are
   *     due; it may step
   * @return the effects to carry out, in order
   */
  public List<SchedulerEffect> handle(SchedulerEvent event, Instant now, Instant wallClockTime) {
    context.setTime(now, wallClockTime);
    applyEvent(event);
    return context.drainEffects();
  }

  /**
   * Places tasks, asks for advice, polls workers and stores journal entries, as far as the events
   * since the last call allow.
   *
   * @param now the reading of the local monotonic clock
   * @param wallClockTime the current wall-clock time, which only says which jobs on a schedule are
   *     due; it may step
   * @return the effects to carry out, in order
   */
  public List<SchedulerEffect> decide(Instant now, Instant wallClockTime) {
    context.setTime(now, wallClockTime);
    if (recovered) {
      if (storeAvailable) {
        placement.runIfDue();
      }
      placement.dispatchAdvice();
      poller.sendDuePolls();
      journal.startNextBatch().ifPresent(batch -> context.emit(new SchedulerEffect.Store(batch)));
    }
    return context.drainEffects();
  }

  /** Returns when the next decision is due if no event arrives until then; empty if none is. */
  public Optional<Instant> nextDecisionAt() {
    return recovered && storeAvailable ? placement.nextPassAt() : Optional.empty();
  }

  /**
   * Returns how many jobs of each queue have not started, or empty until the journal has been read.
   * Jobs that run on a schedule are left out.
   */
  public Optional<Map<String, Integer>> pendingByQueue() {
    return recovered ? Optional.of(jobs.pendingByQueue()) : Optional.empty();
  }

  /**
   * Returns when the last complete read of the journal was sent, by the local monotonic clock, or
   * empty before the first one. All entries that other members had stored by then are known.
   */
  public Optional<Instant> journalReadAt() {
    return journalReadAt;
  }

  /** Returns what each organisation uses and may use. */
  public List<OrganisationUsage> organisationUsage() {
    return sharing.describe();
  }

  /** Returns how many jobs have not ended. */
  public int activeJobs() {
    return jobs.active().size();
  }

  private void applyEvent(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.Recovered recovery) {
      recover(recovery);
    } else if (event instanceof SchedulerEvent.CallerRequestReceived received) {
      handleRequest(received);
    } else if (event instanceof SchedulerEvent.LiveListReceived liveList) {
      incarnations.applyLiveList(liveList.workers(), liveList.lapsed());
    } else if (event instanceof SchedulerEvent.WorkerPolled polled) {
      poller.onPollResult(polled);
    } else if (event instanceof SchedulerEvent.OrderFinished order) {
      onOrderResult(order);
    } else if (event instanceof SchedulerEvent.AdviceCallFinished finished) {
      placement.onAdviceResult(finished.call(), finished.tickets());
      context.requestPlacement();
    } else if (event instanceof SchedulerEvent.MembersChanged changed) {
      adviceDispatcher.setMembers(changed.members());
    } else if (event instanceof SchedulerEvent.ConfigurationChanged changed) {
      applyConfiguration(changed.configuration());
    } else if (event instanceof SchedulerEvent.Ticked) {
      tick();
    } else {
      applyHostEvent(event);
    }
  }

  private void applyHostEvent(SchedulerEvent event) {
    if (event instanceof SchedulerEvent.JournalBatchStored stored) {
      context.confirmLeadership(stored.sentAt());
      journal.onBatchStored();
    } else if (event instanceof SchedulerEvent.JournalBatchRefused) {
      journal.onBatchRefused();
    } else if (event instanceof SchedulerEvent.StoreAvailabilityChanged changed) {
      onStoreAvailabilityChanged(changed.available());
    } else if (event instanceof SchedulerEvent.OtherMemberEntriesRead entriesRead) {
      entriesRead.entries().forEach(this::applyEntryFromOtherMember);
    } else if (event instanceof SchedulerEvent.JournalRead read) {
      onJournalRead(read.sentAt());
    } else if (event instanceof SchedulerEvent.StartLimitChanged changed) {
      placement.limitStarts(changed.most());
    }
  }

  /**
   * Refuses the submissions that have not been sent to the store when it becomes unavailable:
   * callers would otherwise wait for their whole time and then not know whether their jobs exist.
   */
  private void onStoreAvailabilityChanged(boolean available) {
    storeAvailable = available;
    if (!available) {
      journal.refuseUnsentJobs();
    }
  }

  private void applyConfiguration(CellConfiguration newer) {
    context.applyConfiguration(newer);
    context.configuration().ifPresent(sharing.limits()::applyConfiguration);
    queueFollower.apply();
  }

  private void tick() {
    if (recovered) {
      poller.expireLeases();
    }
    giveUpCancellations();
    forgetExpiredCancellations();
    context.requestPlacement();
    incarnations.tick();
    runManager.resendStops();
    runManager.stopUnreportedStarts();
    retention.tick();
    admission.tick(recovered && storeAvailable);
  }

  private void recover(SchedulerEvent.Recovered recovery) {
    Set<JobId> cancelled = journalRecovery.restoreJobs(recovery.entries());
    recovery.lapsed().forEach(incarnations::update);
    incarnations.applyLiveList(recovery.workers(), idsOf(recovery.lapsed()));
    journalRecovery.inheritRuns();
    recovered = true;
    admission.begin();
    cancelled.forEach(this::cancelOrRemember);
    context.logDecision(
        "recovered",
        "",
        Map.of(
            "jobs", jobs.size(),
            "active", jobs.active().size(),
            "pending", jobs.pendingByQueue().values().stream().mapToInt(Integer::intValue).sum(),
            "workers", recovery.workers().size(),
            "lapsed", recovery.lapsed().size()));
  }

  private static Set<WorkerId> idsOf(List<WorkerDescription> workers) {
    return workers.stream().map(WorkerDescription::id).collect(Collectors.toSet());
  }

  private void handleRequest(SchedulerEvent.CallerRequestReceived received) {
    if (!recovered) {
      reply(received.caller(), CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY));
    } else if (!access.permits(received.request())) {
      reply(received.caller(), JobAccess.refusalOf(received.request()));
    } else if (received.request() instanceof CallerRequest.Submit submit) {
      submit(received.caller(), submit.definition());
    } else if (received.request() instanceof CallerRequest.Cancel cancel) {
      cancel(received.caller(), cancel);
    } else {
      show(received.caller(), received.request().job());
    }
  }

  private void reply(CallerRequestId caller, CallerAnswer answer) {
    context.emit(new SchedulerEffect.Answer(caller, answer));
  }

  private void submit(CallerRequestId caller, JobDefinition definition) {
    Optional<Job> found = jobs.find(definition.id());
    if (jobs.archivedState(definition.id()).isPresent()) {
      reply(caller, CallerAnswer.of(Verdict.ACCEPTED));
      return;
    }
    if (found.isEmpty() && !storeAvailable) {
      context.logDecision(
          "rejected", definition.id(), Map.of("reason", "journal store is not reachable"));
      reply(caller, CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY));
      return;
    }
    if (found.isEmpty()) {
      Optional<CallerAnswer> refusal = admission.refusalOf(definition, isJournalReadRecent());
      if (refusal.isPresent()) {
        reply(caller, refusal.get());
        return;
      }
      accept(definition);
    }
    Job job = jobs.find(definition.id()).orElseThrow();
    if (job.acceptanceStored()) {
      reply(caller, CallerAnswer.of(Verdict.ACCEPTED));
    } else {
      awaitingAcceptance.computeIfAbsent(job.id(), each -> new ArrayList<>()).add(caller);
    }
  }

  private void accept(JobDefinition definition) {
    Job job = context.createJob(definition, admission.askedAt(definition.id()));
    admission.recordAccepted(definition);
    jobs.add(job);
    journal.addAccepted(job, () -> confirmAcceptance(job), () -> withdrawAcceptance(job));
    context.logDecision(
        "accepted",
        definition.id(),
        Map.of("queue", definition.queue().name(), "active", jobs.active().size()));
  }

  private void confirmAcceptance(Job job) {
    job.markAcceptanceStored();
    context.requestPlacement();
    replyToAll(job, CallerAnswer.of(Verdict.ACCEPTED));
    removeCancelling(job).forEach(early -> cancel(early.caller(), early.request()));
    applyRememberedCancellation(job.id());
  }

  private List<EarlyCancellation> removeCancelling(Job job) {
    return Optional.ofNullable(cancellingBeforeStored.remove(job.id())).orElse(List.of());
  }

  private void replyToAll(Job job, CallerAnswer answer) {
    List<CallerRequestId> callers = awaitingAcceptance.remove(job.id());
    if (callers != null) {
      callers.forEach(caller -> reply(caller, answer));
    }
  }

  private void withdrawAcceptance(Job job) {
    if (job.acceptanceStored()) {
      // Another member has stored the job.
      return;
    }
    jobs.remove(job.id());
    journal.withdraw(job);
    replyToAll(job, CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY));
    removeCancelling(job).forEach(early -> cancelAfterJournalRead(early.caller(), early.request()));
    context.logDecision("rejected", job.id(), Map.of("reason", "journal store refused the record"));
  }

  private void cancel(CallerRequestId caller, CallerRequest.Cancel request) {
    JobId id = request.job();
    Optional<Job> found = jobs.find(id);
    if (awaitingAcceptance.containsKey(id)) {
      // The store may still refuse the job, and there is none then.
      cancellingBeforeStored
          .computeIfAbsent(id, each -> new ArrayList<>())
          .add(new EarlyCancellation(caller, request));
      return;
    }
    if (jobs.archivedState(id).isPresent()) {
      reply(caller, CallerAnswer.of(Verdict.CANCELLED));
      return;
    }
    if (found.isEmpty()) {
      cancelAfterJournalRead(caller, request);
      return;
    }
    if (!found.get().isEnded()) {
      cancelIfKnown(id);
    }
    if (found.get().storedState().isTerminal()) {
      reply(caller, CallerAnswer.of(Verdict.CANCELLED));
    } else {
      journal.afterStored(
          () -> reply(caller, CallerAnswer.of(Verdict.CANCELLED)),
          () -> reply(caller, CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY)));
    }
  }

  /**
   * Answers the cancellation of an unknown job once the journal has been read, since another member
   * may have stored the job. A next scheduler would run the job if its caller were told now that
   * there is none.
   */
  private void cancelAfterJournalRead(CallerRequestId caller, CallerRequest.Cancel request) {
    if (!storeAvailable || unknownJobCancellations.isFull(waitingCancellations.size())) {
      reply(caller, CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY));
      return;
    }
    waitingCancellations.add(
        new WaitingCancellation(
            caller, request, context.now(), context.now().plus(CANCELLATION_WAIT)));
  }

  private void answerCancellationsBefore(Instant readSentAt) {
    while (!waitingCancellations.isEmpty()
        && !waitingCancellations.peek().arrivedAt().isAfter(readSentAt)) {
      WaitingCancellation waiting = waitingCancellations.remove();
      if (jobs.find(waiting.job()).isPresent()) {
        cancelNowKnown(waiting);
      } else {
        storeCancellationOfUnknownJob(waiting);
      }
    }
  }

  /** Cancels a job that has become known meanwhile, unless it is another organisation's. */
  private void cancelNowKnown(WaitingCancellation waiting) {
    if (access.permits(waiting.request())) {
      cancel(waiting.caller(), waiting.request());
    } else {
      reply(waiting.caller(), JobAccess.refusalOf(waiting.request()));
    }
  }

  /** Answers the cancellations that have waited too long for a read of the journal. */
  private void giveUpCancellations() {
    while (!waitingCancellations.isEmpty()
        && !context.now().isBefore(waitingCancellations.peek().giveUpAt())) {
      WaitingCancellation waiting = waitingCancellations.remove();
      if (jobs.find(waiting.job()).isPresent()) {
        cancelNowKnown(waiting);
      } else {
        context.logDecision(
            "job not known yet", waiting.job(), Map.of("reason", "journal not read in time"));
        reply(waiting.caller(), CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY));
      }
    }
  }

  /**
   * Stores the cancellation before its caller is told that there is no such job: the submission may
   * reach the next scheduler.
   */
  private void storeCancellationOfUnknownJob(WaitingCancellation waiting) {
    unknownJobCancellations.add(waiting.job(), context.now());
    journal.addCancelled(waiting.job());
    journal.afterStored(
        () -> answerStoredCancellation(waiting),
        () ->
            reply(waiting.caller(), CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY)));
  }

  private void answerStoredCancellation(WaitingCancellation waiting) {
    if (jobs.find(waiting.job()).isPresent()) {
      // The job was submitted meanwhile.
      cancelNowKnown(waiting);
    } else {
      reply(waiting.caller(), CallerAnswer.of(Verdict.UNKNOWN_JOB));
    }
  }

  private void forgetExpiredCancellations() {
    unknownJobCancellations.removeExpired(context.now()).forEach(journal::addCancellationExpired);
  }

  /**
   * Cancels a job, and remembers the cancellation unless the job is stored: its append may still be
   * on its way.
   */
  private void cancelOrRemember(JobId id) {
    if (jobs.archivedState(id).isPresent()) {
      return;
    }
    if (jobs.find(id).filter(Job::acceptanceStored).isEmpty()) {
      unknownJobCancellations.add(id, context.now());
    }
    cancelIfKnown(id);
  }

  private void applyRememberedCancellation(JobId id) {
    if (unknownJobCancellations.remove(id)) {
      cancelIfKnown(id);
    }
  }

  private void cancelIfKnown(JobId id) {
    jobs.find(id)
        .filter(job -> !job.isEnded())
        .ifPresent(
            job -> {
              job.cancel(context.now());
              runManager.stopAllRuns(job, "cancelled");
              runManager.updateAndStoreJob(job);
              context.logDecision("cancelled", id, Map.of());
            });
  }

  private void show(CallerRequestId caller, JobId id) {
    Optional<JobState> state = jobs.find(id).map(Job::storedState).or(() -> jobs.archivedState(id));
    if (state.isPresent()) {
      reply(caller, CallerAnswer.state(state.get()));
    } else if (isJournalReadRecent()) {
      reply(caller, CallerAnswer.of(Verdict.UNKNOWN_JOB));
    } else {
      // Another member may have stored the job since the journal was last read.
      context.logDecision("job not known yet", id, Map.of("reason", "journal not read recently"));
      reply(caller, CallerAnswer.withRetryAfter(Verdict.UNAVAILABLE, STORE_RETRY));
    }
  }

  private boolean isJournalReadRecent() {
    return journalReadAt
        .filter(readAt -> context.now().isBefore(readAt.plus(MAXIMUM_JOURNAL_AGE)))
        .isPresent();
  }

  private void onJournalRead(Instant sentAt) {
    context.confirmLeadership(sentAt);
    if (journalReadAt.filter(sentAt::isBefore).isEmpty()) {
      journalReadAt = Optional.of(sentAt);
    }
    answerCancellationsBefore(sentAt);
  }

  private void applyEntryFromOtherMember(JournalEntry entry) {
    if (entry instanceof JournalEntry.Accepted accepted) {
      if (jobs.archivedState(accepted.job()).isPresent()) {
        // A member has stored a repeated submission of a job that has ended.
        return;
      }
      Optional<Job> found = jobs.find(accepted.job());
      if (found.isEmpty()) {
        jobs.add(
            journalRecovery.toStoredJob(accepted.definition(), journalReadAt.orElse(Instant.MIN)));
        admission.recordStoredElsewhere(accepted.job());
        context.logDecision("accepted elsewhere", accepted.job(), Map.of());
      } else if (!found.get().acceptanceStored()) {
        confirmAcceptance(found.get());
      }
      applyRememberedCancellation(entry.job());
    } else if (entry instanceof JournalEntry.Cancelled) {
      cancelOrRemember(entry.job());
    }
  }

  private void onOrderResult(SchedulerEvent.OrderFinished order) {
    if (order.result() == OrderResult.FENCED) {
      context.emit(
          new SchedulerEffect.StepDown(
              "worker "
                  + order.worker()
                  + " refused an order of this term: it has accepted a newer term"));
      return;
    }
    if (order.isStart() && order.result() == OrderResult.UNANSWERED) {
      incarnations.recordUnansweredStart(order.worker(), order.run());
    }
    Optional<TrackedWorker> found = workers.find(order.worker(), order.incarnation());
    if (found.isEmpty()) {
      return;
    }
    TrackedWorker worker = found.get();
    if (order.result() == OrderResult.OTHER_INCARNATION) {
      runManager.releaseAllRuns(worker, "another incarnation of the worker answered");
      worker.markUnlisted();
      return;
    }
    if (order.result().isAnswer()) {
      incarnations.recordOrderAnswer(worker, order.run(), order.clockMillis());
    }
    if (order.result() == OrderResult.NO_TICKET) {
      placement.onTicketRefused(order.run().task().step());
    }
    if (order.isStart()) {
      runManager.onStartResult(worker, order.run(), order.result());
    } else {
      runManager.onStopResult(worker, order.run(), order.result());
    }
  }
}
