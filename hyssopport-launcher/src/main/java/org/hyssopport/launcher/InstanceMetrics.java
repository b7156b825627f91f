package org.hyssopport.launcher;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.function.LongSupplier;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.platform.AppendResult;

/** The metrics of an entry instance. */
final class InstanceMetrics {

  private final MetricRegistry registry = MetricRegistry.create();
  private final Counter answers =
      registry.counter(
          "hyssopport_answers", "Answers to callers by outcome and reason.", "outcome", "reason");
  private final Counter timelineEvents =
      registry.counter("hyssopport_events", "Timeline events by kind.", "kind");
  private final Counter appends =
      registry.counter("hyssopport_log_appends", "Appends to the log by result.", "result");
  private final Counter appendedRecords =
      registry.counter("hyssopport_log_records", "Records appended to the log.");
  private final Histogram answerSeconds =
      registry.secondsHistogram(
          "hyssopport_answer_seconds", "Time from a caller's request to its answer.");

  /** Registers a gauge whose value is read at each scrape. */
  void gauge(String name, String help, LongSupplier value) {
    registry.gauge(name, help, value);
  }

  void countAnswer(String outcome, String reason, double seconds) {
    answers.labelValues(outcome, reason).inc();
    answerSeconds.observe(seconds);
  }

  void countTimelineEvent(Effect.RecordTimelineEvent event) {
    timelineEvents.labelValues(event.kind().name()).inc();
  }

  void countAppend(AppendResult result, int records) {
    appends.labelValues(result.name()).inc();
    appendedRecords.inc((double) records);
  }

  /** Returns all metrics in the Prometheus text format. */
  byte[] text() {
    return registry.text();
  }
}
