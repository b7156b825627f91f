package org.hyssopport.testkit.bench;

import java.util.Locale;

/**
 * One result of an experiment. The component names are the keys of {@code results.json}.
 *
 * @param experiment the name of the experiment
 * @param variant the policy or cell size under test
 * @param measure the name of the measured quantity
 * @param value the measured value
 * @param unit the unit of the value
 * @since 0.1
 */
public record Row(String experiment, String variant, String measure, double value, String unit) {

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%-14s %-28s %-38s %12.3f %s", experiment, variant, measure, value, unit);
  }
}
