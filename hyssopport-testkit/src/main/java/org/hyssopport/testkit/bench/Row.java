package org.hyssopport.testkit.bench;

import java.util.Locale;

/**
 * One measured figure.
 *
 * @param experiment the experiment
 * @param variant the policy or the size
 * @param measure what was measured
 * @param value the figure
 * @param unit its unit
 * @since 0.1
 */
public record Row(String experiment, String variant, String measure, double value, String unit) {

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%-14s %-28s %-38s %12.3f %s", experiment, variant, measure, value, unit);
  }
}
