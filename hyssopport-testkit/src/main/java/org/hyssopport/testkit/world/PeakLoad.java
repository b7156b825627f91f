package org.hyssopport.testkit.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.hyssopport.engine.job.AdvicePolicy;
import org.hyssopport.engine.job.JobDefinition;
import org.hyssopport.engine.job.JobId;
import org.hyssopport.engine.job.QueuePolicy;
import org.hyssopport.engine.job.StepDefinition;
import org.hyssopport.engine.organisation.OrganisationId;
import org.hyssopport.policy.Resources;

/**
 * Generates the peak load of a booking service: three kinds of jobs whose rates follow a wave, with
 * a burst of kiosk checks and a later burst of route plans.
 *
 * <p>Sizes, rates and policies are those of the booking service of Ardennes Rail Velocipedes.
 *
 * <p>A job earns its whole worth if it is complete within its objective, a fifth of it up to three
 * times the objective, and nothing after that.
 *
 * @since 0.2
 */
public final class PeakLoad {

  private static final double WAVE_AMPLITUDE = 0.55;
  private static final double WAVE_PERIOD_SECONDS = 13;
  private static final double STRAGGLER_SHARE = 0.03;
  private static final double STRAGGLER_FACTOR = 7;
  private static final double LATE_WORTH_SHARE = 0.2;
  private static final int WORTHLESS_AFTER_FACTOR = 3;
  private static final double FIXED_WORTH_SHARE = 0.3;
  private static final double MAXIMUM_WORTH_FACTOR = 4;
  private static final int TIME_STEP_MILLIS = 10;

  private final Simulation simulation;
  private final Size size;
  private final Random random;
  private final Map<JobId, SubmittedJob> submitted = new LinkedHashMap<>();

  /** Chooses the organisations, so that the jobs themselves are the same without them. */
  private final Random organisationRandom;

  private final OrganisationMix mix;

  private PeakLoad(Simulation simulation, Size size, long seed, OrganisationMix mix) {
    this.simulation = simulation;
    this.size = size;
    this.random = new Random(seed);
    this.organisationRandom = new Random(seed + 1);
    this.mix = mix;
  }

  /** The size of the booking service. */
  public enum Size {
    /** The present size: 33 workers and 9 members. */
    TODAY(33, 9),
    /** The size that the organisation forecasts: 245 workers and 32 members. */
    GROWN(245, 32);

    private final int workerCount;
    private final int memberCount;

    Size(int workerCount, int memberCount) {
      this.workerCount = workerCount;
      this.memberCount = memberCount;
    }

    /** Returns a simulation of this size in which no job was submitted yet. */
    public Simulation newSimulation(long seed) {
      return Simulation.create(
          seed,
          workerCount,
          Resources.of(64, 262_144, 0),
          memberCount,
          priority -> Kind.ofPriority(priority).goodWorkerShare);
    }
  }

  /**
   * The parameters of a kind of job that depend on the size of the service.
   *
   * @param jobsPerSecond the mean rate of submissions
   * @param tasks the mean number of tasks of a step
   * @param milliProcessors the mean demand of one task
   * @param worth the worth of a job of mean work
   * @param decideMillis the fixed part of the duration of an advice call
   * @param perWorkerMillis the part of an advice call's duration for each worker that it names
   */
  private record KindParameters(
      double jobsPerSecond,
      double tasks,
      double milliProcessors,
      double worth,
      double decideMillis,
      double perWorkerMillis) {}

  /** A kind of job, with the properties that do not depend on the size of the service. */
  public enum Kind {
    /** Route plans, made in advance: gangs of large tasks. */
    ROUTE_PLAN(1, 52_000, 5300, 2.2, 1000, true, 0.5, 0.25),
    /** Reconciliations: many small tasks that may be delayed. */
    RECONCILIATION(2, 14_000, 2900, 4.0, 3000, false, 0.8, 0.45),
    /** Checks of one family at a kiosk: few short tasks that come first. */
    KIOSK_CHECK(0, 16_000, 680, 1.5, 250, false, 0, 0.7);

    private final int priority;
    private final double memoryMebibytes;
    private final double taskMillis;
    private final double stretch;
    private final int allowanceMillis;
    private final boolean gang;
    private final double checkpointShare;

    /** The share of workers that advice recommends for a step. */
    private final double goodWorkerShare;

    Kind(
        int priority,
        double memoryMebibytes,
        double taskMillis,
        double stretch,
        int allowanceMillis,
        boolean gang,
        double checkpointShare,
        double goodWorkerShare) {
      this.priority = priority;
      this.memoryMebibytes = memoryMebibytes;
      this.taskMillis = taskMillis;
      this.stretch = stretch;
      this.allowanceMillis = allowanceMillis;
      this.gang = gang;
      this.checkpointShare = checkpointShare;
      this.goodWorkerShare = goodWorkerShare;
    }

    private static Kind ofPriority(int priority) {
      return Arrays.stream(values())
          .filter(kind -> kind.priority == priority)
          .findFirst()
          .orElseThrow();
    }

    private KindParameters parametersAt(Size size) {
      boolean grown = size == Size.GROWN;
      return switch (this) {
        case ROUTE_PLAN ->
            grown
                ? new KindParameters(2.35, 20, 18_000, 12.9, 1002, 10.0)
                : new KindParameters(0.714, 8, 18_000, 15.8, 928, 9.2);
        case RECONCILIATION ->
            grown
                ? new KindParameters(4.87, 25, 6900, 3.9, 222, 2.34)
                : new KindParameters(2.68, 10, 3900, 2.63, 117, 1.2);
        case KIOSK_CHECK ->
            grown
                ? new KindParameters(67.8, 3, 9900, 0.391, 16, 0.169)
                : new KindParameters(23.8, 2, 5600, 0.415, 13, 0.13);
      };
    }

    private QueuePolicy queue(Size size) {
      KindParameters parameters = parametersAt(size);
      return new QueuePolicy(
          name(),
          SimulatedWorkers.SERVICE,
          priority,
          4,
          stretch,
          Duration.ofMillis(allowanceMillis),
          Optional.of(
              new AdvicePolicy(
                  Duration.ofMillis((long) parameters.decideMillis()),
                  Duration.ofNanos((long) (parameters.perWorkerMillis() * 1_000_000)),
                  Duration.ofMillis(1500))));
    }

    /** Returns the mean work of a step, in thousandths of a processor times milliseconds. */
    private double meanWork(Size size) {
      return parametersAt(size).tasks() * parametersAt(size).milliProcessors() * taskMillis;
    }
  }

  private record SubmittedJob(
      Kind kind, double worth, Duration objective, Optional<OrganisationId> organisation) {}

  /**
   * Submits the jobs of a load, then advances the simulation by another 60 s of virtual time.
   *
   * @param simulation the simulation, in which no job was submitted yet
   * @param size the size of the service whose load is generated
   * @param seed the seed of the load
   * @param scale a factor for all rates
   * @param seconds how long jobs are submitted, in seconds
   * @return the share of the offered worth that was earned, by the name of the kind, and under
   *     {@code ALL} that of all kinds
   */
  public static Map<String, Double> play(
      Simulation simulation, Size size, long seed, double scale, int seconds) {
    return play(simulation, size, seed, scale, seconds, OrganisationMix.NONE);
  }

  /**
   * The same for a service that organisations share; the largest of them may send many times its
   * usual load for some time. What it sends then beyond its usual load is not offered worth.
   *
   * @return also, under {@code OTHERS}, the share that all but the largest organisation earned, and
   *     under {@code WORST TENTH} that of the tenth of them that earned least
   */
  public static Map<String, Double> play(
      Simulation simulation, Size size, long seed, double scale, int seconds, OrganisationMix mix) {
    PeakLoad load = new PeakLoad(simulation, size, seed, mix);
    PeakLoad surge = new PeakLoad(simulation, size, seed + 2, mix);
    if (mix.count() > 0) {
      simulation.configure(mix.organisations());
    }
    for (int millis = 0; millis < seconds * 1000; millis += TIME_STEP_MILLIS) {
      for (Kind kind : Kind.values()) {
        double rate =
            kind.parametersAt(load.size).jobsPerSecond()
                * scale
                * load.rateFactor(kind, millis / 1000.0);
        if (load.random.nextDouble() < rate * TIME_STEP_MILLIS / 1000) {
          load.submit(kind, mix.draw(load.organisationRandom));
        }
        double surgeRate = rate * mix.surgeShareAt(millis / 1000.0);
        if (surgeRate > 0 && surge.random.nextDouble() < surgeRate * TIME_STEP_MILLIS / 1000) {
          surge.submit(kind, mix.largest());
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
    return load.earnedShares();
  }

  private double rateFactor(Kind kind, double second) {
    double wave = 1 + WAVE_AMPLITUDE * Math.sin(2 * Math.PI * second / WAVE_PERIOD_SECONDS);
    boolean kioskCheckBurst = kind == Kind.KIOSK_CHECK && second >= 8 && second < 12;
    boolean routePlanBurst = kind == Kind.ROUTE_PLAN && second >= 19 && second < 23;
    return wave * (kioskCheckBurst ? 2.2 : routePlanBurst ? 1.8 : 1);
  }

  private void submit(Kind kind, Optional<OrganisationId> organisation) {
    KindParameters parameters = kind.parametersAt(size);
    List<StepDefinition> steps = new ArrayList<>();
    int stepCount = kind == Kind.KIOSK_CHECK || random.nextDouble() < 0.7 ? 1 : 2;
    int tasks =
        (int)
            Math.max(1, Math.round(drawLogNormal(parameters.tasks(), 0.8, parameters.tasks() * 6)));
    long milliProcessors =
        (long)
            drawLogNormal(parameters.milliProcessors(), 0.4, parameters.milliProcessors() * 1.67);
    long memoryMebibytes =
        (long) drawLogNormal(kind.memoryMebibytes, 0.5, kind.memoryMebibytes * 2);
    double estimatedMillis = drawLogNormal(kind.taskMillis, 0.5, kind.taskMillis * 4);
    for (int index = 0; index < stepCount; index++) {
      steps.add(
          new StepDefinition(
              tasks,
              new Resources(milliProcessors, memoryMebibytes, 0),
              Duration.ofMillis((long) estimatedMillis),
              index == 0 ? List.of() : List.of(index - 1),
              random.nextDouble() < kind.checkpointShare,
              kind.gang,
              false,
              Optional.empty(),
              Optional.empty(),
              0,
              false,
              false));
    }
    JobId id = simulation.submit(kind.queue(size), steps, organisation);
    boolean straggles = random.nextDouble() < STRAGGLER_SHARE;
    Duration realDuration =
        Duration.ofMillis((long) (estimatedMillis * (straggles ? STRAGGLER_FACTOR : 1)));
    simulation.workers().setWorkDuration(id, realDuration);
    JobDefinition job =
        new JobDefinition(
            id,
            kind.queue(size),
            "",
            steps,
            0,
            Instant.EPOCH,
            Duration.ZERO,
            Instant.EPOCH,
            Optional.empty());
    // A processor-second is 1e6 thousandths of a processor times milliseconds.
    double relativeWork = job.work() * 1e6 / kind.meanWork(size);
    double worth =
        parameters.worth() * (FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * relativeWork);
    double chainMillis = realDuration.toMillis() * (double) stepCount;
    submitted.put(
        id,
        new SubmittedJob(
            kind,
            Math.min(worth, MAXIMUM_WORTH_FACTOR * parameters.worth()),
            Duration.ofMillis((long) (kind.stretch * chainMillis + kind.allowanceMillis)),
            organisation));
  }

  /** Draws from a log-normal distribution with the given mean, cut off at a maximum. */
  private double drawLogNormal(double mean, double spread, double maximum) {
    double value = mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
    return Math.min(maximum, value);
  }

  private Map<String, Double> earnedShares() {
    Map<String, Double> earned = new LinkedHashMap<>();
    double total = 0;
    double offered = 0;
    for (Kind kind : Kind.values()) {
      double kindEarned = 0;
      double kindOffered = 0;
      for (Map.Entry<JobId, SubmittedJob> entry : submitted.entrySet()) {
        SubmittedJob job = entry.getValue();
        if (job.kind() == kind) {
          kindOffered += job.worth();
          kindEarned += job.worth() * earnedShare(entry.getKey(), job.objective());
        }
      }
      earned.put(kind.name(), kindOffered == 0 ? 1 : kindEarned / kindOffered);
      total += kindEarned;
      offered += kindOffered;
    }
    earned.put("ALL", total / offered);
    if (mix.count() > 0) {
      addEarnedByOthers(earned);
    }
    return earned;
  }

  private void addEarnedByOthers(Map<String, Double> earned) {
    Map<OrganisationId, double[]> byOrganisation = new HashMap<>();
    submitted.forEach(
        (id, job) -> {
          double[] sums =
              byOrganisation.computeIfAbsent(
                  job.organisation().orElseThrow(), each -> new double[2]);
          sums[0] += job.worth() * earnedShare(id, job.objective());
          sums[1] += job.worth();
        });
    byOrganisation.remove(mix.largest().orElseThrow());
    List<double[]> worstFirst = new ArrayList<>(byOrganisation.values());
    worstFirst.sort(Comparator.comparingDouble(sums -> sums[0] / sums[1]));
    earned.put("OTHERS", sharedBy(worstFirst));
    int tenth = (worstFirst.size() + 9) / 10;
    earned.put("WORST TENTH", sharedBy(worstFirst.subList(0, tenth)));
  }

  private static double sharedBy(List<double[]> sums) {
    double earned = sums.stream().mapToDouble(each -> each[0]).sum();
    return earned / sums.stream().mapToDouble(each -> each[1]).sum();
  }

  private double earnedShare(JobId id, Duration objective) {
    Optional<Duration> taken = simulation.timeTaken(id);
    if (taken.isEmpty()
        || taken.get().compareTo(objective.multipliedBy(WORTHLESS_AFTER_FACTOR)) > 0) {
      return 0;
    }
    return taken.get().compareTo(objective) <= 0 ? 1 : LATE_WORTH_SHARE;
  }
}
