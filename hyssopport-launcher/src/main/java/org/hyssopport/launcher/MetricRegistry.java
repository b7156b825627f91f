package org.hyssopport.launcher;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Holds the metrics of a process and writes them in the Prometheus text format.
 *
 * @since 0.2
 */
public final class MetricRegistry {

  private final PrometheusRegistry registry = new PrometheusRegistry();

  private MetricRegistry() {}

  /** Returns an empty registry. */
  public static MetricRegistry create() {
    return new MetricRegistry();
  }

  /** Registers a counter with the given labels. */
  public Counter counter(String name, String help, String... labels) {
    return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
  }

  /**
   * Registers a histogram of times in seconds.
   *
   * <p>Its buckets range from 5 ms, a short answer of a store, to 5 s, a long wait of a caller.
   */
  public Histogram secondsHistogram(String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .classicOnly()
        .classicUpperBounds(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
        .register(registry);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void gauge(String name, String help, LongSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call((double) value.getAsLong()))
        .register(registry);
  }

  /** Registers a gauge that is left out of a scrape while its value is not known. */
  public void gaugeIfKnown(String name, String help, Supplier<Optional<Integer>> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> value.get().ifPresent(callback::call))
        .register(registry);
  }

  /** Registers a gauge with labels, whose values by labels are read at each scrape. */
  public void gaugeByLabels(
      String name, String help, List<String> labels, Supplier<Map<List<String>, Double>> values) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .labelNames(labels.toArray(String[]::new))
        .callback(
            callback ->
                values
                    .get()
                    .forEach((each, value) -> callback.call(value, each.toArray(String[]::new))))
        .register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
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
