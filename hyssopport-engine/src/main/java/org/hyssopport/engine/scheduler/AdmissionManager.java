package org.hyssopport.engine.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopport.engine.admission.AdmissionControl;
import org.hyssopport.engine.admission.AdmissionDecision;
import org.hyssopport.engine.admission.AdmissionRequest;
import org.hyssopport.engine.admission.AdmissionRequest.OrganisationLoad;
import org.hyssopport.engine.admission.DepartureRate;
import org.hyssopport.engine.admission.RefusedCallers;
import org.hyssopport.engine.configuration.CellConfiguration;
import org.hyssopport.engine.job.Job;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.Step;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.job.Task;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.quota.OrganisationLimits;
import org.hyssopport.engine.scheduler.CallerAnswer.Verdict;
import org.hyssopport.engine.worker.TrackedWorker;

/** Measures the load that new jobs meet, and refuses those that can't be of use any more. */
final class AdmissionManager {

  /** Some samples fall into the shortest time that a job is allowed, which is some 400 ms. */
  private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(200);

  /** Some lines for each burst of load. */
  private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

  /**
   * How long after the beginning of a term nothing is refused: what members have stored without a
   * scheduler before may not be known yet, and the workers have not all reported.
   */
  private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

  private final SchedulerContext context;
  private final JobRegistry jobs;
  private final TrackedWorkerRegistry workers;
  private final OrganisationLimits limits;
  private final RefusedCallers refusedCallers = RefusedCallers.none();
  private final Map<String, ServiceLoad> loadByService = new HashMap<>();
  private Instant nextSampleAt = Instant.MIN;
  private Instant refusesFrom = Instant.MAX;

  AdmissionManager(
      SchedulerContext context,
      JobRegistry jobs,
      TrackedWorkerRegistry workers,
      OrganisationLimits limits) {
    this.context = context;
    this.jobs = jobs;
    this.workers = workers;
    this.limits = limits;
  }

  /** Records that the term has begun. */
  void begin() {
    refusesFrom = context.now().plus(SETTLING_TIME);
  }

  /** The load of the workers of one service, as of the last sample. */
  private static final class ServiceLoad {
    private final DepartureRate departures = DepartureRate.unknown();
    private Optional<Instant> sampledAt = Optional.empty();
    private Instant nextLogAt = Instant.MIN;
    private double waitingWork;
    private double waitingProcessors;
    private double admittedWork;
    private double processors;
    private double freeProcessors;

    void reset() {
      waitingWork = 0;
      waitingProcessors = 0;
      admittedWork = 0;
      processors = 0;
      freeProcessors = 0;
    }

    /** Returns whether the tasks that wait ask for more than is free. */
    boolean isFull() {
      return waitingProcessors > freeProcessors;
    }

    double workPerSecond(Instant now) {
      return Math.max(processors, departures.perSecond(now).orElse(0.0));
    }
  }

  /**
   * Measures the load, if that is due.
   *
   * @param placing whether tasks are placed; while none are, nothing is measured
   */
  void tick(boolean placing) {
    if (!placing) {
      loadByService.values().forEach(load -> load.sampledAt = Optional.empty());
      nextSampleAt = context.now();
    } else if (!context.now().isBefore(nextSampleAt)) {
      nextSampleAt = context.now().plus(SAMPLE_INTERVAL);
      sample();
    }
  }

  private void sample() {
    Map<String, Double> expectedByService = new HashMap<>();
    loadByService.forEach(
        (service, load) -> {
          expectedByService.put(service, load.waitingWork + load.admittedWork);
          load.reset();
        });
    for (Job job : jobs.active()) {
      if (job.acceptanceStored()) {
        addJob(loadOf(job.queue()), job);
      }
    }
    for (TrackedWorker worker : workers.all()) {
      ServiceLoad load = loadByService.get(worker.description().service());
      if (load != null && worker.acceptsWork()) {
        load.processors += worker.description().capacity().milliProcessors() / 1000.0;
        load.freeProcessors += worker.freeResources().milliProcessors() / 1000.0;
      }
    }
    loadByService.forEach(
        (service, load) -> {
          recordDepartures(load, expectedByService.getOrDefault(service, 0.0));
          logLoadIfDue(service, load);
        });
  }

  private void logLoadIfDue(String service, ServiceLoad load) {
    if (!load.isFull() || context.now().isBefore(load.nextLogAt)) {
      return;
    }
    load.nextLogAt = context.now().plus(LOG_INTERVAL);
    double workPerSecond = load.workPerSecond(context.now());
    long waitMillis = workPerSecond <= 0 ? -1 : (long) (load.waitingWork / workPerSecond * 1000);
    context.logDecision(
        "load",
        service,
        Map.of(
            "waitingWork", Math.round(load.waitingWork),
            "waitingProcessors", Math.round(load.waitingProcessors),
            "processors", Math.round(load.processors),
            "freeProcessors", Math.round(load.freeProcessors),
            "workPerSecond", Math.round(workPerSecond),
            "waitMillis", waitMillis));
  }

  private void recordDepartures(ServiceLoad load, double expected) {
    boolean waitedAllTheTime = expected > 0 && load.isFull();
    load.sampledAt
        .filter(from -> waitedAllTheTime)
        .ifPresent(
            from ->
                load.departures.recordDepartures(from, context.now(), expected - load.waitingWork));
    load.sampledAt = Optional.of(context.now());
  }

  private void addJob(ServiceLoad load, Job job) {
    for (Step step : job.steps()) {
      long waiting = waitingTasks(job, step);
      double processors = waiting * step.definition().demand().milliProcessors() / 1000.0;
      load.waitingProcessors += processors;
      load.waitingWork += processors * step.definition().estimate().toMillis() / 1000;
    }
  }

  private ServiceLoad loadOf(QueuePolicy queue) {
    return loadByService.computeIfAbsent(queue.service(), each -> new ServiceLoad());
  }

  private ServiceLoad loadOf(JobDefinition definition) {
    return loadOf(context.queueInForce(definition.queue()));
  }

  private long waitingTasks(Job job, Step step) {
    return step.definition().lasting() || !job.isStepReady(step, context.wallClockTime())
        ? 0
        : step.tasks().stream().filter(Task::isWaiting).count();
  }

  private double waitingWork(Job job) {
    double work = 0;
    for (Step step : job.steps()) {
      work += waitingTasks(job, step) * taskWork(step.definition());
    }
    return work;
  }

  /**
   * Returns the refusal of a new job, or empty if it is admitted.
   *
   * @param definition the job
   * @param journalKnown whether the journal was read recently, so that no other member has stored
   *     the job; a refusal for want of room would not be true otherwise
   */
  Optional<CallerAnswer> refusalOf(JobDefinition definition, boolean journalKnown) {
    Optional<Organisation> exceeded = limits.exceededByAnyStep(definition);
    if (exceeded.isPresent()) {
      logExceededLimit(definition, exceeded.get());
      return Optional.of(CallerAnswer.of(Verdict.EXCEEDS_LIMIT));
    }
    return journalKnown ? refusalForWantOfRoom(definition) : Optional.empty();
  }

  private void logExceededLimit(JobDefinition definition, Organisation organisation) {
    context.logDecision(
        "rejected",
        definition.id(),
        Map.of(
            "reason", "a task or gang is larger than the limit of its organisation",
            "organisation", organisation.id(),
            "limit", organisation.limit(),
            "version", limits.configurationVersion().orElse(0L)));
  }

  private Optional<CallerAnswer> refusalForWantOfRoom(JobDefinition definition) {
    boolean runsOnce =
        !definition.timed() && definition.steps().stream().noneMatch(StepDefinition::lasting);
    ServiceLoad load = loadOf(definition);
    if (!runsOnce || load.sampledAt.isEmpty() || context.now().isBefore(refusesFrom)) {
      return Optional.empty();
    }
    double mostAhead = load.waitingWork + load.admittedWork;
    if (!decide(definition, load, mostAhead, mostAhead).isRefusal()) {
      // Spares the look at each waiting job while the whole backlog would not delay this one
      // enough.
      return Optional.empty();
    }
    AdmissionDecision decision = decide(definition, load);
    if (!decision.isRefusal()) {
      return Optional.empty();
    }
    refusedCallers.add(definition.id(), context.now());
    logRefusal(definition, decision);
    return Optional.of(CallerAnswer.withRetryAfter(Verdict.REJECTED, decision.retryAfter()));
  }

  private AdmissionDecision decide(JobDefinition definition, ServiceLoad load) {
    Job candidate = context.createJob(definition, askedAt(definition.id()));
    double ahead = 0;
    double ownAhead = 0;
    for (Job job : jobs.active()) {
      if (!job.queue().service().equals(candidate.queue().service())) {
        continue;
      }
      double work = waitingWork(job);
      boolean own = job.definition().organisation().equals(definition.organisation());
      boolean placedBefore = isPlacedBefore(job, candidate);
      ahead += placedBefore ? work : 0;
      ownAhead += placedBefore && own ? work : 0;
    }
    return decide(definition, load, ahead, ownAhead);
  }

  private AdmissionDecision decide(
      JobDefinition definition, ServiceLoad load, double ahead, double ownAhead) {
    Instant askedAt = askedAt(definition.id());
    AdmissionRequest request =
        new AdmissionRequest(
            definition.id(),
            askedAt,
            Duration.between(askedAt, context.createJob(definition, askedAt).objective()),
            definition.longestChain(),
            ahead,
            load.workPerSecond(context.now()),
            organisationLoad(definition, load, ownAhead));
    return AdmissionControl.decide(request, context.now());
  }

  /**
   * Returns whether a job is certainly placed before another one while both can be in time. A gang
   * that waits for room leaves gaps to jobs of single tasks.
   */
  private boolean isPlacedBefore(Job job, Job other) {
    boolean leavesGaps = hasGang(job) && !hasGang(other);
    if (leavesGaps || !context.now().isBefore(job.objective())) {
      return false;
    }
    int priority = job.queue().priority();
    int otherPriority = other.queue().priority();
    return priority < otherPriority
        || (priority == otherPriority && !latestStart(job).isAfter(latestStart(other)));
  }

  private static boolean hasGang(Job job) {
    return job.definition().steps().stream().anyMatch(StepDefinition::gang);
  }

  private static Instant latestStart(Job job) {
    return job.objective().minus(job.definition().longestChain());
  }

  private Optional<OrganisationLoad> organisationLoad(
      JobDefinition definition, ServiceLoad load, double ownAhead) {
    return context
        .configuration()
        .flatMap(CellConfiguration::organisations)
        .flatMap(directory -> definition.organisation().flatMap(directory::find))
        .map(organisation -> organisation.limit().milliProcessors() / 1000.0)
        .filter(limit -> limit > 0 && load.processors > 0)
        .map(
            limit ->
                new OrganisationLoad(
                    ownAhead, limit * load.workPerSecond(context.now()) / load.processors));
  }

  /** Returns when the caller of a new job first asked for it. */
  Instant askedAt(JobId job) {
    return refusedCallers.firstAskedAt(job, context.now()).orElse(context.now());
  }

  /**
   * Records that another member has stored a job. If it was refused here before, its caller may
   * have been told so by one member and the opposite by another one.
   */
  void recordStoredElsewhere(JobId job) {
    if (refusedCallers.remove(job)) {
      context.logDecision("stored elsewhere after refusal", job, Map.of());
    }
  }

  /** Records that a job was accepted. */
  void recordAccepted(JobDefinition definition) {
    refusedCallers.remove(definition.id());
    if (!definition.timed()) {
      loadOf(definition).admittedWork += firstWork(definition);
    }
  }

  /** Returns the work of the steps that are ready at once. */
  private static double firstWork(JobDefinition definition) {
    return definition.steps().stream()
        .filter(step -> step.after().isEmpty())
        .mapToDouble(step -> step.tasks() * taskWork(step))
        .sum();
  }

  private static double taskWork(StepDefinition step) {
    return step.demand().milliProcessors() / 1e6 * step.estimate().toMillis();
  }

  private void logRefusal(JobDefinition definition, AdmissionDecision decision) {
    Instant now = context.now();
    Map<String, Object> inputs = new HashMap<>();
    inputs.put("reason", decision.outcome());
    inputs.put("queue", definition.queue().name());
    inputs.put("workAhead", Math.round(decision.workAhead()));
    inputs.put("workPerSecond", Math.round(decision.workPerSecond()));
    inputs.put("earliestEndMillis", Duration.between(now, decision.earliestEnd()).toMillis());
    inputs.put("limitMillis", Duration.between(now, decision.limit()).toMillis());
    inputs.put("retryAfterMillis", decision.retryAfter().toMillis());
    inputs.put(
        "loadAgeMillis", Duration.between(nextSampleAt.minus(SAMPLE_INTERVAL), now).toMillis());
    definition.organisation().ifPresent(id -> inputs.put("organisation", id.toString()));
    context.logDecision("rejected", definition.id(), inputs);
  }
}
