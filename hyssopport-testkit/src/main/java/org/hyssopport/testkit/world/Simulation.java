package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.JobState;
import org.hyssopport.engine.job.JournalEntry;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationDirectory;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.platform.WorkerId;
import org.hyssopport.engine.scheduler.CallerAnswer;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.scheduler.CallerRequest;
import org.hyssopport.engine.scheduler.CallerRequestId;
import org.hyssopport.engine.scheduler.SchedulerEvent;
import org.hyssopport.engine.worker.RunId;
import org.hyssopport.policy.Resources;

/**
 * Simulates a cell in virtual time: workers, a journal, callers and a succession of schedulers.
 *
 * @since 0.2
 */
public final class Simulation {

  private static final Duration TAKE_OVER_DELAY = Duration.ofMillis(1500);
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);

  /** How long after its acceptance a job may still be unknown to some members. */
  private static final Duration VISIBILITY_DELAY = Duration.ofSeconds(3);

  /** Each scheduler reads the journal at least once in this time, if it can be read. */
  private static final Duration JOURNAL_READ_SPAN = Duration.ofMillis(300);

  /** A scheduler that reads the store has a new configuration within this time. */
  private static final int LONGEST_DELIVERY_MILLIS = 1500;

  private final VirtualTime time = new VirtualTime();
  private final Random random;
  private final SimulatedWorkers workers;
  private final SimulatedJournal journal = new SimulatedJournal();
  private final OrderFaults orderFaults = new OrderFaults();
  private final int memberCount;
  private final IntToDoubleFunction goodWorkerShare;
  private final Map<JobId, JobDefinition> submitted = new LinkedHashMap<>();
  private final Map<JobId, Instant> acceptedAt = new HashMap<>();
  private final Map<JobId, Instant> visibleFrom = new HashMap<>();
  private final Map<JobId, Instant> completeAt = new HashMap<>();
  private final Map<JobId, JobState> lastState = new HashMap<>();
  private final Set<JobId> cancelledJobs = new HashSet<>();
  private final Set<JobId> jobsWithCancellation = new HashSet<>();
  private final Map<Long, CallerRequest> openRequests = new HashMap<>();
  private final Map<Long, Consumer<CallerAnswer>> refusalListeners = new HashMap<>();
  private final Set<JobId> refusedJobs = new HashSet<>();
  private int refusalCount;
  private Optional<SchedulerHost> host = Optional.empty();
  private boolean adviceAnswered = true;
  private Optional<CellConfiguration> configuration = Optional.empty();
  private final List<String> decisions = new ArrayList<>();
  private long lastTerm;
  private long lastNumber;
  private long decisionNanos;
  private int undeliverableOrders;
  private final Map<WorkerId, Map<RunId, Instant>> undeliverableRuns = new HashMap<>();

  private Simulation(
      long seed,
      int workerCount,
      Resources capacity,
      int memberCount,
      IntToDoubleFunction goodWorkerShare) {
    this.random = new Random(seed);
    this.workers = SimulatedWorkers.of(time, workerCount, capacity);
    this.memberCount = memberCount;
    this.goodWorkerShare = goodWorkerShare;
  }

  /**
   * Returns a simulation with a running scheduler.
   *
   * @param seed the seed of all random choices
   * @param workerCount the number of workers
   * @param capacity the capacity of each worker
   * @param memberCount the number of members that can make advice calls
   * @param goodWorkerShare the share of workers that advice recommends for a step, from 0 to 1
   * @return the simulation
   */
  public static Simulation create(
      long seed, int workerCount, Resources capacity, int memberCount, double goodWorkerShare) {
    return create(seed, workerCount, capacity, memberCount, priority -> goodWorkerShare);
  }

  /**
   * Returns a simulation with a running scheduler.
   *
   * @param seed the seed of all random choices
   * @param workerCount the number of workers
   * @param capacity the capacity of each worker
   * @param memberCount the number of members that can make advice calls
   * @param goodWorkerShare the share of workers that advice recommends for a step, from 0 to 1, by
   *     the priority of the job's queue
   * @return the simulation
   */
  public static Simulation create(
      long seed,
      int workerCount,
      Resources capacity,
      int memberCount,
      IntToDoubleFunction goodWorkerShare) {
    Simulation simulation =
        new Simulation(seed, workerCount, capacity, memberCount, goodWorkerShare);
    simulation.electScheduler();
    return simulation;
  }

  VirtualTime time() {
    return time;
  }

  Random random() {
    return random;
  }

  /** Returns the simulated workers. */
  public SimulatedWorkers workers() {
    return workers;
  }

  /** Returns the journal in the simulated store. */
  public SimulatedJournal journal() {
    return journal;
  }

  /** Returns the delivery faults of orders to workers. */
  public OrderFaults orderFaults() {
    return orderFaults;
  }

  int memberCount() {
    return memberCount;
  }

  /** Returns the advice policy of a job's queue, which has one. */
  AdvicePolicy advicePolicy(JobId job) {
    return submitted.get(job).queue().advice().orElseThrow();
  }

  /** Sets whether calls to the advice service get answers. */
  public void setAdviceAnswered(boolean answered) {
    adviceAnswered = answered;
  }

  boolean adviceAnswered() {
    return adviceAnswered;
  }

  double goodWorkerShare(int priority) {
    return goodWorkerShare.applyAsDouble(priority);
  }

  /** Advances the virtual clock and runs every action that becomes due. */
  public void advance(Duration span) {
    time.advance(span);
  }

  /** Schedules an action to run after a delay. */
  public void after(Duration delay, Runnable action) {
    time.after(delay, action);
  }

  /** Kills the scheduler; another one takes over 1.5 s later. */
  public void killScheduler() {
    host.ifPresent(SchedulerHost::end);
    host = Optional.empty();
    time.after(TAKE_OVER_DELAY, this::electScheduler);
  }

  /**
   * Starts a scheduler of a new term while the older one may still run. While the journal can't be
   * read, the start is retried every 1.5 s.
   */
  public void electScheduler() {
    if (!journal.isReadable()) {
      time.after(TAKE_OVER_DELAY, this::electScheduler);
      return;
    }
    lastTerm++;
    SchedulerHost next = new SchedulerHost(this, lastTerm, this::onAnswer);
    host = Optional.of(next);
    next.begin();
    deliverConfiguration(next);
  }

  /**
   * Changes the configuration; the scheduler learns of it within {@code LONGEST_DELIVERY}, as does
   * each later scheduler after its term has begun.
   */
  public void configure(List<Organisation> organisations) {
    long version = configuration.map(CellConfiguration::version).orElse(0L) + 1;
    configuration =
        Optional.of(
            new CellConfiguration(
                version, List.of(), 0, Optional.of(OrganisationDirectory.of(organisations))));
    workers.runChecker().limits().recordConfiguration(organisations, time.now());
    host.ifPresent(this::deliverConfiguration);
  }

  private void deliverConfiguration(SchedulerHost to) {
    if (configuration.isPresent()) {
      SchedulerEvent changed = new SchedulerEvent.ConfigurationChanged(configuration.get());
      time.afterMillis(random.nextInt(LONGEST_DELIVERY_MILLIS), () -> to.handle(changed));
    }
  }

  /** Submits a job; the submission is repeated until it is accepted. */
  public JobId submit(QueuePolicy queue, List<StepDefinition> steps) {
    return submit(queue, steps, Optional.empty());
  }

  /** Submits a job of an organisation; the submission is repeated until it is accepted. */
  public JobId submit(
      QueuePolicy queue, List<StepDefinition> steps, Optional<OrganisationId> organisation) {
    JobDefinition job = define(queue, steps, organisation);
    sendRequest(new CallerRequest.Submit(job));
    return job.id();
  }

  /**
   * Submits a job whose caller returns after a refusal as it is told to, if its time and its
   * attempts allow that.
   *
   * @param queue the policy of its queue
   * @param steps its steps
   * @param organisation the organisation of its caller
   * @param timeLimit how long the caller asks for the acceptance
   * @param attempts how often the caller asks at most
   * @return the id of the job
   */
  public JobId submitWithin(
      QueuePolicy queue,
      List<StepDefinition> steps,
      OrganisationId organisation,
      Duration timeLimit,
      int attempts) {
    JobDefinition job = define(queue, steps, Optional.of(organisation));
    attempt(new LimitedCaller(job, time.now().plus(timeLimit)), attempts);
    return job.id();
  }

  /** A caller that gives up at some time. */
  private record LimitedCaller(JobDefinition job, Instant deadline) {}

  private void attempt(LimitedCaller caller, int attemptsLeft) {
    lastNumber++;
    long number = lastNumber;
    CallerRequest request = new CallerRequest.Submit(caller.job());
    refusalListeners.put(number, answer -> returnAfter(answer, caller, attemptsLeft - 1));
    if (host.isPresent() && !host.get().hasEnded()) {
      openRequests.put(number, request);
      host.get()
          .handle(
              new SchedulerEvent.CallerRequestReceived(
                  new CallerRequestId("member-0", number), request));
    }
  }

  /** Lets a refused caller return, at the latest after an equal part of the time that it has. */
  private void returnAfter(CallerAnswer refusal, LimitedCaller caller, int attemptsLeft) {
    refusalCount++;
    Duration left = Duration.between(time.now(), caller.deadline());
    if (attemptsLeft < 1 || left.isNegative()) {
      refusedJobs.add(caller.job().id());
      return;
    }
    Duration told = refusal.retryAfter().orElse(Duration.ZERO);
    Duration part = left.dividedBy(attemptsLeft + 1L);
    time.after(told.compareTo(part) < 0 ? told : part, () -> attempt(caller, attemptsLeft));
  }

  /** Returns whether all attempts to submit a job were refused. */
  public boolean isRefused(JobId id) {
    return refusedJobs.contains(id);
  }

  /** Returns the jobs that a scheduler knows although all attempts to submit them were refused. */
  public List<JobId> falselyRefused() {
    return refusedJobs.stream().filter(lastState::containsKey).toList();
  }

  /** Returns how many attempts to submit jobs were refused. */
  public int refusalCount() {
    return refusalCount;
  }

  /** Submits a job to a member that stores it in the journal without a scheduler. */
  public JobId submitWithoutScheduler(QueuePolicy queue, List<StepDefinition> steps) {
    JobDefinition job = define(queue, steps);
    acceptWithoutScheduler(job);
    return job.id();
  }

  /** Submits a job to a member whose append to the journal arrives after a delay. */
  public JobId submitWithoutScheduler(
      QueuePolicy queue, List<StepDefinition> steps, Duration delay) {
    JobDefinition job = define(queue, steps);
    time.after(delay, () -> acceptWithoutScheduler(job));
    return job.id();
  }

  /**
   * Submits a job to a member that forwards it to the scheduler and also stores it itself, after a
   * delay. The submission is repeated until it is accepted.
   */
  public JobId submitForwarded(QueuePolicy queue, List<StepDefinition> steps, Duration delay) {
    JobDefinition job = define(queue, steps);
    time.after(delay, () -> acceptWithoutScheduler(job));
    sendRequest(new CallerRequest.Submit(job));
    return job.id();
  }

  private void acceptWithoutScheduler(JobDefinition job) {
    if (journal.isDown()) {
      time.after(RETRY_DELAY, () -> acceptWithoutScheduler(job));
      return;
    }
    journal.appendWithoutTerm(new JournalEntry.Accepted(job));
    acceptedAt.putIfAbsent(job.id(), time.now());
    visibleFrom.putIfAbsent(job.id(), time.now().plus(VISIBILITY_DELAY));
  }

  private JobDefinition define(QueuePolicy queue, List<StepDefinition> steps) {
    return define(queue, steps, Optional.empty());
  }

  private JobDefinition define(
      QueuePolicy queue, List<StepDefinition> steps, Optional<OrganisationId> organisation) {
    lastNumber++;
    JobId id = new JobId(String.format("%016x", lastNumber));
    JobDefinition job =
        new JobDefinition(
            id, queue, "payload", steps, 0, Instant.EPOCH, Duration.ZERO, time.now(), organisation);
    organisation.ifPresent(owner -> workers.runChecker().limits().recordSubmission(id, owner));
    submitted.put(id, job);
    workers.runChecker().recordSubmission(id, steps, queue.attempts());
    queue.advice().ifPresent(advice -> workers.tickets().requireFor(id));
    return job;
  }

  /** Cancels a job; the request is repeated until the cancellation is confirmed. */
  public void cancel(JobId id) {
    jobsWithCancellation.add(id);
    sendRequest(CallerRequest.Cancel.withoutOrganisation(id));
  }

  /**
   * Cancels a job at a member that stores the cancellation in the journal without a scheduler and
   * confirms it. The job itself may not be stored yet.
   */
  public void cancelWithoutScheduler(JobId id) {
    jobsWithCancellation.add(id);
    if (journal.isDown()) {
      time.after(RETRY_DELAY, () -> cancelWithoutScheduler(id));
      return;
    }
    journal.appendWithoutTerm(new JournalEntry.Cancelled(id));
    cancelledJobs.add(id);
    recordCancellationOnceReadable(id);
  }

  /** Records a cancellation as of the time from which no scheduler can have failed to read it. */
  private void recordCancellationOnceReadable(JobId id) {
    Instant from = time.now();
    int interruptionsBefore = journal.interruptions();
    boolean readableBefore = journal.isReadable();
    time.after(
        JOURNAL_READ_SPAN,
        () -> {
          if (readableBefore && journal.interruptions() == interruptionsBefore) {
            workers.runChecker().recordCancellation(id, from);
          } else {
            recordCancellationOnceReadable(id);
          }
        });
  }

  /**
   * Requests the state of every accepted or refused job from the current scheduler, if there is
   * one.
   */
  public void requestJobStates() {
    acceptedAt.keySet().forEach(id -> sendRequest(CallerRequest.Show.withoutOrganisation(id)));
    refusedJobs.forEach(id -> sendRequest(CallerRequest.Show.withoutOrganisation(id)));
  }

  private void sendRequest(CallerRequest request) {
    lastNumber++;
    long number = lastNumber;
    if (host.isPresent() && !host.get().hasEnded()) {
      openRequests.put(number, request);
      CallerRequestId caller = new CallerRequestId("member-0", number);
      host.get().handle(new SchedulerEvent.CallerRequestReceived(caller, request));
    }
    if (!(request instanceof CallerRequest.Show)) {
      time.after(RETRY_DELAY, () -> retryRequest(number, request));
    }
  }

  private void retryRequest(long number, CallerRequest request) {
    openRequests.remove(number);
    boolean confirmed =
        request instanceof CallerRequest.Submit
            ? acceptedAt.containsKey(request.job())
            : cancelledJobs.contains(request.job());
    if (!confirmed) {
      sendRequest(request);
    }
  }

  private void onAnswer(CallerRequestId caller, CallerAnswer answer) {
    CallerRequest request = openRequests.remove(caller.number());
    if (request == null) {
      return;
    }
    JobId id = request.job();
    Optional<Consumer<CallerAnswer>> refusalListener =
        Optional.ofNullable(refusalListeners.remove(caller.number()));
    if (answer.verdict().isRefusal()) {
      refusalListener.ifPresent(listener -> listener.accept(answer));
    }
    if (answer.verdict() == Verdict.ACCEPTED) {
      acceptedAt.putIfAbsent(id, time.now());
      visibleFrom.putIfAbsent(id, time.now());
    } else if (confirmsCancellation(request, answer)) {
      cancelledJobs.add(id);
      workers.runChecker().recordCancellation(id, time.now());
    }
    if (answer.verdict() == Verdict.UNKNOWN_JOB && isVisible(id)) {
      workers
          .runChecker()
          .addFinding(time.now() + " accepted job is unknown to the scheduler: " + id);
    }
    answer.state().ifPresent(state -> recordState(id, state));
  }

  /** Returns whether an answer tells a caller that a job does not run from then on. */
  private static boolean confirmsCancellation(CallerRequest request, CallerAnswer answer) {
    boolean unknown = answer.verdict() == Verdict.UNKNOWN_JOB;
    return answer.verdict() == Verdict.CANCELLED
        || (unknown && request instanceof CallerRequest.Cancel);
  }

  private boolean isVisible(JobId id) {
    return Optional.ofNullable(visibleFrom.get(id))
        .filter(from -> !time.now().isBefore(from))
        .isPresent();
  }

  private void recordState(JobId id, JobState state) {
    JobState previousState = lastState.put(id, state);
    if (previousState != null && previousState.isTerminal() && previousState != state) {
      workers
          .runChecker()
          .addFinding(
              time.now()
                  + " "
                  + id
                  + " left the terminal state "
                  + previousState
                  + " for "
                  + state);
    }
    if (state == JobState.FAILED && !workers.runChecker().isOutOfAttempts(id)) {
      workers.runChecker().addFinding(time.now() + " shown as failed with attempts left: " + id);
    }
    if (state == JobState.COMPLETE) {
      completeAt.putIfAbsent(id, time.now());
      if (!workers.runChecker().isDone(id)) {
        workers
            .runChecker()
            .addFinding(time.now() + " shown as complete before all of its tasks were done: " + id);
      }
    }
  }

  /** Returns the state of a job in the most recent answer that contained one. */
  public Optional<JobState> state(JobId id) {
    return Optional.ofNullable(lastState.get(id));
  }

  /** Returns the instant at which a job was first shown as complete. */
  public Optional<Instant> completeAt(JobId id) {
    return Optional.ofNullable(completeAt.get(id));
  }

  /** Returns the time from the submission of a job until it was first shown as complete. */
  public Optional<Duration> timeTaken(JobId id) {
    return completeAt(id).map(at -> Duration.between(submitted.get(id).acceptedAt(), at));
  }

  /** Returns the accepted jobs whose most recently shown state, if any, is not terminal. */
  public List<JobId> unfinished() {
    List<JobId> unfinished = new ArrayList<>();
    for (JobId id : acceptedAt.keySet()) {
      if (!state(id).map(JobState::isTerminal).orElse(false)) {
        unfinished.add(id);
      }
    }
    return unfinished;
  }

  /** Returns the accepted jobs that no caller cancelled and that were not shown as complete. */
  public List<JobId> incomplete() {
    return acceptedAt.keySet().stream()
        .filter(id -> !jobsWithCancellation.contains(id))
        .filter(id -> state(id).filter(state -> state == JobState.COMPLETE).isEmpty())
        .toList();
  }

  /**
   * Returns, for each worker that could not be reached with an order, the time from the first run
   * whose order did not reach it to the last such run.
   */
  public Map<WorkerId, Duration> placementSpansWhileUnreachable() {
    Map<WorkerId, Duration> spans = new HashMap<>();
    undeliverableRuns.forEach(
        (worker, runs) -> {
          Instant first = Collections.min(runs.values());
          Instant last = Collections.max(runs.values());
          spans.put(worker, Duration.between(first, last));
        });
    return spans;
  }

  /** Returns the number of orders to workers that could not be reached. */
  public int undeliverableOrders() {
    return undeliverableOrders;
  }

  void recordUndeliverableOrder(WorkerId worker, RunId run) {
    undeliverableOrders++;
    undeliverableRuns.computeIfAbsent(worker, each -> new HashMap<>()).putIfAbsent(run, time.now());
  }

  /** Returns the real time that all schedulers spent on events and decisions, in nanoseconds. */
  public long decisionNanos() {
    return decisionNanos;
  }

  void addDecisionNanos(long nanos) {
    decisionNanos += nanos;
  }

  /** Returns the logged decisions of all schedulers so far, in order. */
  public List<String> decisions() {
    return decisions;
  }

  /** Returns the violations found so far; empty if every guarantee held. */
  public List<String> findings() {
    return workers.runChecker().findings();
  }
}
