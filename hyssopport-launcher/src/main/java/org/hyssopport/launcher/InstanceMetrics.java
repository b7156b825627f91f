package org.hyssopport.launcher;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.LongSupplier;
import org.hyssopport.engine.Effect;
import org.hyssopport.engine.platform.AppendResult;

/** The metrics of one instance. */
final class InstanceMetrics {

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Counter answers =
      Counter.builder()
          .name("hyssopport_answers")
          .help("Answers to callers by outcome and reason.")
          .labelNames("outcome", "reason")
          .register(registry);
  private final Counter events =
      Counter.builder()
          .name("hyssopport_events")
          .help("Events on the time line by kind.")
          .labelNames("kind")
          .register(registry);
  private final Counter appends =
      Counter.builder()
          .name("hyssopport_log_appends")
          .help("Appends to the log by result.")
          .labelNames("result")
          .register(registry);
  private final Counter appendedRecords =
      Counter.builder()
          .name("hyssopport_log_records")
          .help("Records appended to the log.")
          .register(registry);
  private final Histogram answerSeconds =
      Histogram.builder()
          .name("hyssopport_answer_seconds")
          .help("Time from a caller's request to its answer.")
          .classicOnly()
          .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
          .register(registry);

  /** Registers a value that is read when the metrics are. */
  void gauge(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call((double) value.getAsLong()))
        .register(registry);
  }

  void countAnswer(String outcome, String reason, double seconds) {
    answers.labelValues(outcome, reason).inc();
    answerSeconds.observe(seconds);
  }

  void countEvent(Effect.Note note) {
    events.labelValues(note.kind().name()).inc();
  }

  void countAppend(AppendResult result, int records) {
    appends.labelValues(result.name()).inc();
    appendedRecords.inc((double) records);
  }

  /** Returns all metrics in the text format. */
  byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
