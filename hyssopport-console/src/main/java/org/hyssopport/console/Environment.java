package org.hyssopport.console;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import net.sourceforge.argparse4j.inf.Argument;

/** Gives flags their values from environment variables where the command line is silent. */
final class Environment {

  private static final String PREFIX = "HYSSOPPORT_";

  private final Map<String, String> variables;

  private Environment(Map<String, String> variables) {
    this.variables = variables;
  }

  static Environment of(Map<String, String> variables) {
    return new Environment(variables);
  }

  /** Lets a required flag come from its variable. */
  void bindRequired(Argument argument, String flag) {
    Optional<String> value = value(flag);
    argument.required(value.isEmpty());
    value.ifPresent(argument::setDefault);
  }

  /** Lets an optional flag come from its variable. */
  void bindOptional(Argument argument, String flag, String fallback) {
    argument.setDefault(value(flag).orElse(fallback));
  }

  private Optional<String> value(String flag) {
    return Optional.ofNullable(variables.get(variableName(flag)));
  }

  /** Returns the name of a flag's variable. */
  static String variableName(String flag) {
    return PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
  }
}
