package org.hyssopport.testkit.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.hyssopport.policy.Json;
import org.hyssopport.testkit.world.OrganisationMix;
import org.hyssopport.testkit.world.PeakLoad;
import org.hyssopport.testkit.world.Simulation;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/**
 * Command line of the benchmarks: runs the selected experiments, prints each result as a table row,
 * and writes all results as JSON and as bar charts to {@code target/bench}.
 *
 * @since 0.1
 */
public final class Bench {

  private static final Path OUTPUT_FOLDER = Path.of("target", "bench");
  private static final int WARM_UP_REQUESTS = 60_000;
  private static final int MEASURED_REQUESTS = 120_000;
  private static final Duration IDLE_TIME = Duration.ofSeconds(60);

  private static final long PEAK_LOAD_SEED = 11;
  private static final int PEAK_LOAD_SECONDS = 30;

  private final List<Row> rows = new ArrayList<>();

  private Bench() {}

  /**
   * Runs the named experiments, or all of them if none is named, and writes the results.
   *
   * @throws IllegalArgumentException if there is no experiment of a given name
   * @throws IOException if the results can't be written
   */
  public static void main(String[] names) throws IOException {
    List<String> selected =
        names.length > 0
            ? List.of(names)
            : List.of(
                "crest",
                "head-of-line",
                "packing",
                "holders",
                "failures",
                "take-over",
                "speed",
                "control",
                "scheduler",
                "shares");
    Bench bench = new Bench();
    for (String name : selected) {
      bench.runExperiment(name);
    }
    bench.writeResults();
  }

  private void runExperiment(String name) {
    PolicyExperiments experiments = new PolicyExperiments();
    switch (name) {
      case "crest" -> experiments.peakLoad();
      case "head-of-line" -> experiments.headOfLineBlocking();
      case "packing" -> experiments.packing();
      case "holders" -> experiments.holders();
      case "failures" -> experiments.failures();
      case "take-over" -> experiments.takeOver();
      case "speed" -> measureDecisionSpeed();
      case "control" -> measureControlCost();
      case "scheduler" -> measureScheduler();
      case "shares" -> measureShares();
      default -> throw new IllegalArgumentException("unknown experiment: " + name);
    }
    rows.addAll(experiments.rows());
  }

  private void addRow(
      String experiment, String variant, String measure, double value, String unit) {
    Row row = new Row(experiment, variant, measure, value, unit);
    rows.add(row);
    System.out.println(row);
  }

  /** Measures the time of one placement decision for a growing number of workers. */
  private void measureDecisionSpeed() {
    for (int workers : new int[] {30, 300, 3000}) {
      EngineBench bench = EngineBench.createReady(workers, 2);
      bench.placeRequests(WARM_UP_REQUESTS);
      long nanosBefore = EngineBench.processorNanos();
      Histogram nanosPerDecision = bench.placeRequests(MEASURED_REQUESTS);
      double seconds = (double) (EngineBench.processorNanos() - nanosBefore) / 1e9;
      String variant = workers + " workers held by one";
      addRow(
          "speed",
          variant,
          "p50 decision",
          nanosPerDecision.getValueAtPercentile(50) / 1000.0,
          "µs");
      addRow(
          "speed",
          variant,
          "p99 decision",
          nanosPerDecision.getValueAtPercentile(99) / 1000.0,
          "µs");
      addRow("speed", variant, "whole life, one core", MEASURED_REQUESTS / seconds, "requests/s");
    }
  }

  /**
   * Measures the cost of control for one entry instance without work: the bytes and calls that it
   * sends, and the processor time and heap of the engine and its model workers.
   */
  private void measureControlCost() {
    for (int[] size : new int[][] {{4, 8}, {34, 8}, {100, 8}, {300, 8}, {34, 62}, {34, 188}}) {
      long heapBefore = EngineBench.liveHeapBytes();
      EngineBench bench = EngineBench.createReady(size[0], size[1]);
      bench.advanceIdle(IDLE_TIME);
      long heap = EngineBench.liveHeapBytes() - heapBefore;
      long bytesBefore = bench.sentBytes();
      long callsBefore = bench.workerCalls();
      long nanosBefore = EngineBench.processorNanos();
      bench.advanceIdle(IDLE_TIME);
      double seconds = (double) IDLE_TIME.toSeconds();
      double corePercent = (EngineBench.processorNanos() - nanosBefore) / seconds / 1e7;
      String variant = size[0] + " workers, " + size[1] + " peers";
      addRow("control", variant, "bytes sent", (bench.sentBytes() - bytesBefore) / seconds, "B/s");
      addRow("control", variant, "calls", (bench.workerCalls() - callsBefore) / seconds, "1/s");
      addRow("control", variant, "engine and worker model", corePercent, "% of a core");
      addRow("control", variant, "live heap of both", heap / 1024.0, "KiB");
    }
  }

  /**
   * Measures the share of the offered worth that the cell scheduler earns at peak load, and the
   * processor time of its decisions.
   */
  private void measureScheduler() {
    for (PeakLoad.Size size : PeakLoad.Size.values()) {
      for (double scale : new double[] {1, 1.5}) {
        measureScheduler(size, scale, OrganisationMix.NONE);
      }
    }
  }

  /** Measures the same for services that organisations share, with and without a surge of one. */
  private void measureShares() {
    for (PeakLoad.Size size : PeakLoad.Size.values()) {
      measureScheduler(size, 1, OrganisationMix.NONE);
      for (int organisations : new int[] {20, 77}) {
        measureScheduler(size, 1, OrganisationMix.withoutSurge(organisations));
        measureScheduler(size, 1, OrganisationMix.withSurge(organisations));
      }
    }
  }

  private void measureScheduler(PeakLoad.Size size, double scale, OrganisationMix mix) {
    Simulation simulation = size.newSimulation(PEAK_LOAD_SEED);
    Map<String, Double> earnedShares =
        PeakLoad.play(simulation, size, PEAK_LOAD_SEED, scale, PEAK_LOAD_SECONDS, mix);
    String variant = size.name().toLowerCase(Locale.ROOT) + ", load " + scale + mix.suffix();
    earnedShares.forEach(
        (kind, share) -> addRow("scheduler", variant, "worth of " + kind, share * 100, "%"));
    double corePercent = simulation.decisionNanos() / 1e7 / PEAK_LOAD_SECONDS;
    addRow("scheduler", variant, "decisions", corePercent, "% of a core");
  }

  private void writeResults() throws IOException {
    Files.createDirectories(OUTPUT_FOLDER);
    Files.writeString(
        OUTPUT_FOLDER.resolve("results.json"),
        Json.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(rows));
    Map<String, List<Row>> byMeasure = new LinkedHashMap<>();
    for (Row row : rows) {
      byMeasure
          .computeIfAbsent(row.experiment() + " " + row.measure(), key -> new ArrayList<>())
          .add(row);
    }
    for (Map.Entry<String, List<Row>> entry : byMeasure.entrySet()) {
      plot(entry.getKey(), entry.getValue());
    }
    System.out.println("results and plots: " + OUTPUT_FOLDER);
  }

  private static void plot(String title, List<Row> values) throws IOException {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(760)
            .height(380)
            .title(title)
            .yAxisTitle(values.get(0).unit())
            .build();
    chart.getStyler().setLegendVisible(false);
    chart.getStyler().setLabelsVisible(true);
    chart.getStyler().setToolTipsEnabled(false);
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
    chart.addSeries(
        title,
        values.stream().map(Row::variant).toList(),
        values.stream().map(Row::value).toList());
    String file = title.replaceAll("[^a-z0-9]+", "-");
    BitmapEncoder.saveBitmap(
        chart, OUTPUT_FOLDER.resolve(file).toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
