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
 * Generates an open-loop load: requests are sent at their intended times whether or not earlier
 * ones have been answered, and waits are measured from the intended time, so that a stalled cell
 * does not hide its own delay (coordinated omission).
 */
final class OpenLoopLoadGenerator {

  private static final int MAXIMUM_WAIT_MILLIS = 600_000;

  private final FakeCell cell;
  private final Random random;
  private final List<String> entries;
  private final List<SentRequest> sentRequests = new ArrayList<>();

  OpenLoopLoadGenerator(FakeCell cell, List<String> entries, long seed) {
    this.cell = cell;
    this.entries = List.copyOf(entries);
    this.random = new Random(seed);
  }

  /**
   * Schedules a Poisson stream of requests that starts now.
   *
   * @param profile the class, run time and patience of the requests
   * @param length the duration of the stream
   * @param ratePerSecond the arrival rate, as a function of the elapsed share of the length from 0
   *     to 1
   */
  void send(RequestProfile profile, Duration length, DoubleUnaryOperator ratePerSecond) {
    Instant start = cell.now();
    double elapsedMillis = 0;
    while (elapsedMillis < length.toMillis()) {
      double rate = ratePerSecond.applyAsDouble(elapsedMillis / length.toMillis());
      elapsedMillis += -Math.log(1 - random.nextDouble()) * 1000 / rate;
      long runMillis = profile.drawRunMillis(random);
      Instant intendedAt = start.plusNanos((long) (elapsedMillis * 1_000_000));
      String entry = entries.get(random.nextInt(entries.size()));
      cell.at(intendedAt, () -> sendRequest(profile, entry, intendedAt, runMillis));
    }
  }

  private void sendRequest(
      RequestProfile profile, String entry, Instant intendedAt, long runMillis) {
    ServiceRequest request =
        new ServiceRequest(
            profile.service(),
            Optional.of(intendedAt.plus(profile.patience())),
            true,
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            "{\"runMillis\":" + runMillis + ",\"n\":" + sentRequests.size() + "}");
    SentRequest sentRequest = new SentRequest(profile.service(), intendedAt, runMillis);
    sentRequests.add(sentRequest);
    cell.call(
        entry,
        handle -> new Event.RequestReceived(handle, request),
        answer -> {
          sentRequest.answeredAt = cell.now();
          if (answer instanceof Answer.RequestAnswer received) {
            sentRequest.outcome = received.outcome();
          }
        });
  }

  /** Returns the share of a service's requests that were done, from 0 to 1. */
  double doneShare(String service) {
    long total =
        sentRequests.stream().filter(sentRequest -> sentRequest.service.equals(service)).count();
    return (double) doneCount(service) / Math.max(1, total);
  }

  long doneCount(String service) {
    return sentRequests.stream()
        .filter(
            sentRequest ->
                sentRequest.service.equals(service) && sentRequest.outcome == Outcome.DONE)
        .count();
  }

  long sentCount(String service) {
    return sentRequests.stream().filter(sentRequest -> sentRequest.service.equals(service)).count();
  }

  /**
   * Returns a percentile of the waiting time of a service's done requests: the time from the
   * intended start to the answer, less the request's own run time.
   *
   * @param percentile the percentile from 0 to 100
   */
  double waitMillis(String service, double percentile) {
    Histogram histogram = new Histogram(MAXIMUM_WAIT_MILLIS, 3);
    for (SentRequest sentRequest : sentRequests) {
      if (sentRequest.service.equals(service) && sentRequest.outcome == Outcome.DONE) {
        long totalMillis =
            Duration.between(sentRequest.intendedAt, sentRequest.answeredAt).toMillis();
        histogram.recordValue(Math.max(0, totalMillis - sentRequest.runMillis));
      }
    }
    return (double) histogram.getValueAtPercentile(percentile);
  }

  /**
   * The properties of the requests of one stream.
   *
   * @param service the work class
   * @param typicalMillis the mean run time of a request that is not a straggler
   * @param stragglerShare the share of stragglers, from 0 to 1; they run fifty times as long
   * @param patience the time from a request's intended start to its deadline
   */
  record RequestProfile(
      String service, long typicalMillis, double stragglerShare, Duration patience) {

    private static final int STRAGGLER_FACTOR = 50;

    long drawRunMillis(Random random) {
      boolean straggler = random.nextDouble() < stragglerShare;
      double spread = 0.5 + random.nextDouble();
      long usual = Math.max(1, (long) (typicalMillis * spread));
      return straggler ? usual * STRAGGLER_FACTOR : usual;
    }
  }

  private static final class SentRequest {

    private final String service;
    private final Instant intendedAt;
    private final long runMillis;
    private Instant answeredAt = Instant.EPOCH;
    private Outcome outcome = Outcome.UNKNOWN;

    private SentRequest(String service, Instant intendedAt, long runMillis) {
      this.service = service;
      this.intendedAt = intendedAt;
      this.runMillis = runMillis;
    }
  }
}
