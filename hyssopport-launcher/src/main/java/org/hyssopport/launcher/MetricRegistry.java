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

/**
 * The metrics of one process and their text form.
 *
 * @since 0.2
 */
public final class MetricRegistry {

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private MetricRegistry() {}

  /** Returns a registry without metrics. */
  public static MetricRegistry create() {
    return new MetricRegistry();
  }

  /** Registers a count by labels. */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /** Registers a distribution of seconds, from the answer of a store to a caller's patience. */
  public Histogram secondsHistogram(String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
        .register(registry);
  }

  /** Registers a value that is read when the metrics are. */
  public void gauge(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call((double) value.getAsLong()))
        .register(registry);
  }

  /** Returns all metrics in the text format. */
  public byte[] text() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(out, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }
}
