package org.hyssopport.testkit.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.HdrHistogram.Histogram;
import org.hyssopport.engine.Answer;
import org.hyssopport.engine.Event;
import org.hyssopport.engine.Outcome;
import org.hyssopport.engine.ServiceRequest;
import org.hyssopport.testkit.cell.FakeCell;

/**
 * Sends requests at intended times, whatever became of earlier ones, and measures from those times.
 */
final class OpenLoopLoadGenerator {

  private static final int MOST_MILLIS = 600_000;

  private final FakeCell cell;
  private final Random random;
  private final List<String> entries;
  private final List<SentRequest> samples = new ArrayList<>();

  OpenLoopLoadGenerator(FakeCell cell, List<String> entries, long seed) {
    this.cell = cell;
    this.entries = List.copyOf(entries);
    this.random = new Random(seed);
  }

  /**
   * Sends one stream of requests.
   *
   * @param load the class, run time and patience of the requests
   * @param length how long to send
   * @param ratePerSecond the rate at a share of the length, from 0 to 1
   */
  void send(RequestProfile load, Duration length, DoubleUnaryOperator ratePerSecond) {
    Instant start = cell.now();
    double elapsedMillis = 0;
    while (elapsedMillis < length.toMillis()) {
      double rate = ratePerSecond.applyAsDouble(elapsedMillis / length.toMillis());
      elapsedMillis += -Math.log(1 - random.nextDouble()) * 1000 / rate;
      long runMillis = load.runMillis(random);
      Instant at = start.plusNanos((long) (elapsedMillis * 1_000_000));
      String entry = entries.get(random.nextInt(entries.size()));
      cell.at(at, () -> sendOne(load, entry, at, runMillis));
    }
  }

  private void sendOne(RequestProfile load, String entry, Instant at, long runMillis) {
    ServiceRequest request =
        new ServiceRequest(
            load.service(),
            Optional.of(at.plus(load.patience())),
            true,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "{\"runMillis\":" + runMillis + ",\"n\":" + samples.size() + "}");
    SentRequest sample = new SentRequest(load.service(), at, runMillis);
    samples.add(sample);
    cell.call(
        entry,
        handle -> new Event.RequestReceived(handle, request),
        answer -> {
          sample.answeredAt = cell.now();
          if (answer instanceof Answer.RequestAnswer told) {
            sample.outcome = told.outcome();
          }
        });
  }

  /** Returns the share of one service's requests that were done, from 0 to 1. */
  double doneShare(String service) {
    long all = samples.stream().filter(each -> each.service.equals(service)).count();
    return (double) done(service) / Math.max(1, all);
  }

  long done(String service) {
    return samples.stream()
        .filter(each -> each.service.equals(service) && each.outcome == Outcome.DONE)
        .count();
  }

  long sent(String service) {
    return samples.stream().filter(each -> each.service.equals(service)).count();
  }

  /** Returns a percentile of the time that done requests waited beyond their own run time. */
  double waitMillis(String service, double percentile) {
    Histogram histogram = new Histogram(MOST_MILLIS, 3);
    for (SentRequest sample : samples) {
      if (sample.service.equals(service) && sample.outcome == Outcome.DONE) {
        long total = Duration.between(sample.at, sample.answeredAt).toMillis();
        histogram.recordValue(Math.max(0, total - sample.runMillis));
      }
    }
    return (double) histogram.getValueAtPercentile(percentile);
  }

  /**
   * A sort of requests.
   *
   * @param service the class
   * @param typicalMillis the usual run time
   * @param stragglerShare the share that runs fifty times as long
   * @param patience how long a caller waits
   */
  record RequestProfile(
      String service, long typicalMillis, double stragglerShare, Duration patience) {

    private static final int STRAGGLER_FACTOR = 50;

    long runMillis(Random random) {
      boolean straggler = random.nextDouble() < stragglerShare;
      double spread = 0.5 + random.nextDouble();
      long usual = Math.max(1, (long) (typicalMillis * spread));
      return straggler ? usual * STRAGGLER_FACTOR : usual;
    }
  }

  /** One request. */
  private static final class SentRequest {

    private final String service;
    private final Instant at;
    private final long runMillis;
    private Instant answeredAt = Instant.EPOCH;
    private Outcome outcome = Outcome.UNKNOWN;

    private SentRequest(String service, Instant at, long runMillis) {
      this.service = service;
      this.at = at;
      this.runMillis = runMillis;
    }
  }
}
