package org.hyssopport.console;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Argument;

/** Takes the values of flags that are not given on the command line from environment variables. */
final class Environment {

  private static final String PREFIX = "HYSSOPPORT_";

  private final Map<String, String> variables;

  private Environment(Map<String, String> variables) {
    this.variables = variables;
  }

  static Environment of(Map<String, String> variables) {
    return new Environment(variables);
  }

  /** Makes a flag required unless its environment variable is set, which is then its default. */
  void bindRequired(Argument argument, String flag) {
    Optional<String> value = value(flag);
    argument.required(value.isEmpty());
    value.ifPresent(argument::setDefault);
  }

  /** Makes the value of the environment variable, or else the fallback, the flag's default. */
  void bindOptional(Argument argument, String flag, String fallback) {
    argument.setDefault(value(flag).orElse(fallback));
  }

  private Optional<String> value(String flag) {
    return Optional.ofNullable(variables.get(variableName(flag)));
  }

  /** Returns the name of a flag's environment variable: {@code HYSSOPPORT_ENTRY} for --entry. */
  static String variableName(String flag) {
    return PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
  }
}
