package org.hyssopport.testkit.world;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.Organisation;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.engine.organisation.ResourceLimit;
import org.hyssopport.policy.Resources;

/**
 * Generates the load of a picking service whose demand exceeds its room at the crest: rebuilds that
 * are gangs, reviews of many tasks, and urgent checks. The rates swing, and two overlapping bursts
 * come on top. Callers give up after 3 s and five attempts; what they declare of their run times is
 * far off.
 *
 * <p>Sizes, rates and policies are those of the picking service of Franchise Picking Wave Planning.
 *
 * @since 0.3
 */
public final class CrestLoad {

  /** How long a caller asks for the acceptance of its job. */
  private static final Duration TIME_LIMIT = Duration.ofSeconds(3);

  private static final int ATTEMPTS = 5;
  private static final double STRAGGLER_SHARE = 0.03;
  private static final double STRAGGLER_FACTOR = 7;
  private static final double LATE_WORTH_SHARE = 0.2;
  private static final int WORTHLESS_AFTER_FACTOR = 3;
  private static final double FIXED_WORTH_SHARE = 0.3;
  private static final double MAXIMUM_WORTH_FACTOR = 4;
  private static final int TIME_STEP_MILLIS = 10;
  private static final int ADVISED_WORKERS = 30;

  private static final List<OrganisationId> ORGANISATIONS =
      IntStream.range(0, 20).mapToObj(number -> new OrganisationId("shop-" + number)).toList();

  private final Simulation simulation;
  private final Random random;
  private final Map<JobId, SubmittedJob> submitted = new LinkedHashMap<>();

  private CrestLoad(Simulation simulation, long seed) {
    this.simulation = simulation;
    this.random = new Random(seed);
  }

  /**
   * How the rates of the load behave.
   *
   * @param workers the number of workers; the rates are in proportion to it
   * @param scale a factor for all rates
   * @param swing the part by which the rates rise above and fall below their mean
   * @param rebuildBurst the factor of rebuilds from 12 s to 16 s
   * @param checkBurst the factor of checks from 10 s to 17 s
   * @param hotFactor the factor of what one of the organisations sends from 8 s to 15 s
   */
  public record Profile(
      int workers,
      double scale,
      double swing,
      double rebuildBurst,
      double checkBurst,
      double hotFactor) {

    private static final double WORKERS_OF_SERVICE = 246;
    private static final double WAVE_PERIOD_SECONDS = 13;

    double rateFactor(Kind kind, double second) {
      double wave = 1 + swing * Math.sin(2 * Math.PI * second / WAVE_PERIOD_SECONDS);
      boolean rebuilds = kind == Kind.REBUILD && second >= 12 && second < 16;
      boolean checks = kind == Kind.CHECK && second >= 10 && second < 17;
      double burst = rebuilds ? rebuildBurst : checks ? checkBurst : 1;
      return workers / WORKERS_OF_SERVICE * scale * wave * burst;
    }

    /** Returns what the hot organisation sends, in multiples of what another one sends. */
    double hotFactorAt(double second) {
      return second >= 8 && second < 15 ? hotFactor : 1;
    }
  }

  /** A kind of job. */
  public enum Kind {
    /** Rebuilds of a whole plan: gangs of large tasks. */
    REBUILD(1.98, 1, 1.2, 20, 4500, 4500, 6200, 2.2, 1000, 11.2, true, 0.9, 702, 10.14, 0.25),
    /** Reviews: many small tasks that may be delayed. */
    REVIEW(11.2, 2, 1.5, 25, 1700, 2500, 2200, 4.0, 3000, 2.15, false, 0.5, 104, 1.43, 0.45),
    /** Checks that a person waits for. */
    CHECK(46.4, 0, 1, 3, 2500, 4600, 1000, 1.5, 300, 0.419, false, 0.9, 14.3, 0.208, 0.7);

    private final double jobsPerSecond;
    private final int priority;
    private final double steps;
    private final double tasks;
    private final double milliProcessors;
    private final double memoryMebibytes;
    private final double taskMillis;
    private final double stretch;
    private final int allowanceMillis;
    private final double worth;
    private final boolean gang;

    /** The spread of the logarithm of the declared run time around the actual one. */
    private final double estimateSpread;

    private final double decideMillis;
    private final double perWorkerMillis;
    private final double goodWorkerShare;

    Kind(
        double jobsPerSecond,
        int priority,
        double steps,
        double tasks,
        double milliProcessors,
        double memoryMebibytes,
        double taskMillis,
        double stretch,
        int allowanceMillis,
        double worth,
        boolean gang,
        double estimateSpread,
        double decideMillis,
        double perWorkerMillis,
        double goodWorkerShare) {
      this.jobsPerSecond = jobsPerSecond;
      this.priority = priority;
      this.steps = steps;
      this.tasks = tasks;
      this.milliProcessors = milliProcessors;
      this.memoryMebibytes = memoryMebibytes;
      this.taskMillis = taskMillis;
      this.stretch = stretch;
      this.allowanceMillis = allowanceMillis;
      this.worth = worth;
      this.gang = gang;
      this.estimateSpread = estimateSpread;
      this.decideMillis = decideMillis;
      this.perWorkerMillis = perWorkerMillis;
      this.goodWorkerShare = goodWorkerShare;
    }

    private static double goodWorkerShare(int priority) {
      for (Kind kind : values()) {
        if (kind.priority == priority) {
          return kind.goodWorkerShare;
        }
      }
      return 1;
    }

    private QueuePolicy queue() {
      return new QueuePolicy(
          name(),
          SimulatedWorkers.SERVICE,
          priority,
          4,
          stretch,
          Duration.ofMillis(allowanceMillis),
          Optional.of(
              new AdvicePolicy(
                  Duration.ofMillis((long) decideMillis),
                  Duration.ofNanos((long) (perWorkerMillis * 1_000_000)),
                  Duration.ofMillis(1500))));
    }

    private Duration adviceTime() {
      return Duration.ofMillis((long) (decideMillis + ADVISED_WORKERS * perWorkerMillis));
    }
  }

  private record SubmittedJob(
      Kind kind, OrganisationId organisation, double worth, Duration objective) {}

  /**
   * What callers got.
   *
   * @param byKind by the kind of job
   * @param hot those of the organisation that sends more than the others at times
   * @param others those of all other organisations
   */
  public record Results(Map<Kind, Result> byKind, Result hot, Result others) {

    /** Returns what all callers got. */
    public Result all() {
      return hot.plus(others);
    }
  }

  /**
   * What callers got of one kind of job.
   *
   * @param offered the worth of all jobs
   * @param earned the worth that was earned
   * @param jobs the number of jobs
   * @param inTime how many were complete within their objective
   * @param late how many were complete within three times their objective
   * @param refused how many were refused for good
   */
  public record Result(double offered, double earned, int jobs, int inTime, int late, int refused) {

    static final Result NONE = new Result(0, 0, 0, 0, 0, 0);

    Result plus(Result other) {
      return new Result(
          offered + other.offered,
          earned + other.earned,
          jobs + other.jobs,
          inTime + other.inTime,
          late + other.late,
          refused + other.refused);
    }

    /** Returns the share of the offered worth that was earned. */
    public double earnedShare() {
      return offered == 0 ? 1 : earned / offered;
    }

    /** Returns the share of jobs that were of use to their callers. */
    public double servedShare() {
      return jobs == 0 ? 1 : (inTime + late) / (double) jobs;
    }
  }

  /** Returns a simulation of the picking service in which no job was submitted yet. */
  public static Simulation newSimulation(Profile profile, long seed) {
    Simulation simulation =
        Simulation.create(
            seed,
            profile.workers(),
            Resources.of(16, 32_768, 0),
            Math.max(2, profile.workers() / 6),
            Kind::goodWorkerShare);
    List<Organisation> organisations =
        ORGANISATIONS.stream()
            .map(id -> new Organisation(id, 1, ResourceLimit.NONE, Set.of()))
            .toList();
    simulation.configure(organisations);
    return simulation;
  }

  private static boolean isHot(OrganisationId id) {
    return id.equals(ORGANISATIONS.get(0));
  }

  /**
   * Submits the jobs of a load, then advances the simulation by another 60 s of virtual time.
   *
   * @return what callers got
   */
  public static Results play(Simulation simulation, Profile profile, long seed, int seconds) {
    CrestLoad load = new CrestLoad(simulation, seed);
    for (int millis = 0; millis < seconds * 1000; millis += TIME_STEP_MILLIS) {
      for (Kind kind : Kind.values()) {
        double second = millis / 1000.0;
        double rate = kind.jobsPerSecond * profile.rateFactor(kind, second);
        double hotRate = rate * profile.hotFactorAt(second) / ORGANISATIONS.size();
        double otherRate = rate - rate / ORGANISATIONS.size();
        if (load.random.nextDouble() < (hotRate + otherRate) * TIME_STEP_MILLIS / 1000) {
          boolean hot = load.random.nextDouble() < hotRate / (hotRate + otherRate);
          int other = 1 + load.random.nextInt(ORGANISATIONS.size() - 1);
          load.submit(kind, ORGANISATIONS.get(hot ? 0 : other));
        }
      }
      simulation.advance(Duration.ofMillis(TIME_STEP_MILLIS));
      if (millis % 100 == 0) {
        simulation.requestJobStates();
      }
    }
    for (int round = 0; round < 600; round++) {
      simulation.advance(Duration.ofMillis(100));
      simulation.requestJobStates();
    }
    return load.results();
  }

  private void submit(Kind kind, OrganisationId organisation) {
    double fraction = kind.steps - Math.floor(kind.steps);
    int stepCount = (int) kind.steps + (random.nextDouble() < fraction ? 1 : 0);
    int tasks = (int) Math.max(1, Math.round(drawLogNormal(kind.tasks, 0.8, kind.tasks * 6)));
    long milliProcessors =
        (long) drawLogNormal(kind.milliProcessors, 0.4, kind.milliProcessors * 1.67);
    long memoryMebibytes =
        (long) drawLogNormal(kind.memoryMebibytes, 0.5, kind.memoryMebibytes * 2);
    double workMillis = drawLogNormal(kind.taskMillis, 0.5, kind.taskMillis * 2.5);
    double declaredMillis = workMillis * Math.exp(kind.estimateSpread * random.nextGaussian() / 2);
    boolean straggles = random.nextDouble() < STRAGGLER_SHARE;
    double actualMillis = workMillis * (straggles ? STRAGGLER_FACTOR : 1);
    List<StepDefinition> steps = new ArrayList<>();
    for (int index = 0; index < stepCount; index++) {
      steps.add(
          new StepDefinition(
              tasks,
              new Resources(milliProcessors, memoryMebibytes, 0),
              Duration.ofMillis((long) declaredMillis),
              index == 0 ? List.of() : List.of(index - 1),
              false,
              kind.gang,
              false,
              Optional.empty(),
              Optional.empty(),
              0,
              false,
              false));
    }
    JobId id = simulation.submitWithin(kind.queue(), steps, organisation, TIME_LIMIT, ATTEMPTS);
    simulation.workers().setWorkDuration(id, Duration.ofMillis((long) actualMillis));
    double work = workMillis * stepCount * tasks * milliProcessors;
    double meanWork = kind.steps * kind.tasks * kind.milliProcessors * kind.taskMillis;
    double worth = kind.worth * (FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * work / meanWork);
    Duration chain = kind.adviceTime().plusMillis((long) actualMillis).multipliedBy(stepCount);
    Duration objective =
        Duration.ofMillis((long) (kind.stretch * chain.toMillis()) + kind.allowanceMillis);
    submitted.put(
        id,
        new SubmittedJob(
            kind, organisation, Math.min(worth, MAXIMUM_WORTH_FACTOR * kind.worth), objective));
  }

  /** Draws from a log-normal distribution with the given mean, cut off at a maximum. */
  private double drawLogNormal(double mean, double spread, double maximum) {
    double value = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    return Math.min(maximum, value);
  }

  private Results results() {
    Map<Kind, Result> byKind = new EnumMap<>(Kind.class);
    Result hot = Result.NONE;
    Result others = Result.NONE;
    for (Map.Entry<JobId, SubmittedJob> entry : submitted.entrySet()) {
      SubmittedJob job = entry.getValue();
      Result result = resultOf(entry.getKey(), job);
      byKind.merge(job.kind(), result, Result::plus);
      if (isHot(job.organisation())) {
        hot = hot.plus(result);
      } else {
        others = others.plus(result);
      }
    }
    return new Results(byKind, hot, others);
  }

  private Result resultOf(JobId id, SubmittedJob job) {
    Optional<Duration> taken = simulation.timeTaken(id);
    boolean useful =
        taken
            .filter(
                time -> time.compareTo(job.objective().multipliedBy(WORTHLESS_AFTER_FACTOR)) <= 0)
            .isPresent();
    boolean inTime = taken.filter(time -> time.compareTo(job.objective()) <= 0).isPresent();
    double earned = inTime ? job.worth() : useful ? LATE_WORTH_SHARE * job.worth() : 0;
    return new Result(
        job.worth(),
        earned,
        1,
        inTime ? 1 : 0,
        useful && !inTime ? 1 : 0,
        simulation.isRefused(id) ? 1 : 0);
  }
}
