package org.hyssopport.console;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.PrintStream;
import java.time.DateTimeException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.hyssopport.engine.EngineSettings;
import org.hyssopport.launcher.EntryInstance;
import org.hyssopport.launcher.ServeSettings;
import org.hyssopport.policy.Finding;

/** Runs an entry instance until the process is terminated, and then drains it. */
final class ServeCommand {

  static final String NAME = "serve";

  /** Checked after parsing, so that all missing flags are reported together. */
  private static final List<String> REQUIRED_FLAGS =
      List.of(
          "--name",
          "--failure-domain",
          "--failure-domains",
          "--listen",
          "--peer-listen",
          "--log",
          "--live-list");

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private ServeCommand() {}

  static void register(Subparsers subparsers, Environment environment) {
    Subparser parser = subparsers.addParser(NAME).help("run an entry instance").defaultHelp(true);
    addRequired(parser, environment, "--name", "the instance's name in the live list");
    addRequired(parser, environment, "--failure-domain", "the instance's failure domain");
    addRequired(
        parser, environment, "--failure-domains", "all failure domains, separated by commas");
    addRequired(parser, environment, "--listen", "host:port for callers and operators");
    addRequired(parser, environment, "--peer-listen", "host:port for peers");
    addRequired(parser, environment, "--log", "host:port of the platform's log");
    addRequired(parser, environment, "--live-list", "host:port of the platform's live list");
    addOptional(
        parser, environment, "--appends-per-second", "30", "maximum appends to the log per second");
    addOptional(
        parser, environment, "--drain-limit", "PT30S", "maximum duration of the drain on SIGTERM");
    addOptional(
        parser,
        environment,
        "--horizon",
        "PT60S",
        "how long a task runs while the log can't be reached");
    addOptional(
        parser,
        environment,
        "--adoption-delay",
        "PT10S",
        "how long a failure domain must be silent before others adopt its streams");
    addOptional(parser, environment, "--retention", "PT6H", "how long the log keeps records");
    addOptional(
        parser,
        environment,
        "--fault-switch",
        "false",
        "whether failure tests may cut failure domains off the peer link by HTTP");
  }

  private static void addRequired(
      Subparser parser, Environment environment, String flag, String help) {
    environment.bindOptional(parser.addArgument(flag).help(help + " (required)"), flag, "");
  }

  private static void addOptional(
      Subparser parser, Environment environment, String flag, String fallback, String help) {
    environment.bindOptional(parser.addArgument(flag).help(help), flag, fallback);
  }

  static ExitCode run(Namespace flags, PrintStream err) {
    List<Finding> findings = new ArrayList<>();
    checkPresent(flags, findings);
    ServeSettings settings = settingsOf(flags, findings);
    if (findings.stream().noneMatch(finding -> REQUIRED_FLAGS.contains(finding.place()))) {
      findings.addAll(settings.validate());
    }
    if (!findings.isEmpty()) {
      findings.forEach(err::println);
      return ExitCode.USAGE;
    }
    try {
      EntryInstance instance = EntryInstance.start(settings);
      return awaitShutdown(instance);
    } catch (IOException e) {
      err.println(
          "can't listen on --listen "
              + settings.listen()
              + " or --peer-listen "
              + settings.peerListen()
              + ": "
              + e.getMessage());
      return ExitCode.USAGE;
    }
  }

  private static void checkPresent(Namespace flags, List<Finding> findings) {
    for (String flag : REQUIRED_FLAGS) {
      if (flags.getString(flag.substring(2).replace('-', '_')).isBlank()) {
        findings.add(new Finding(flag, "is missing, and so is " + Environment.variableName(flag)));
      }
    }
  }

  private static ServeSettings settingsOf(Namespace flags, List<Finding> findings) {
    EngineSettings engine =
        EngineSettings.standard()
            .withDurations(
                parseDuration(flags, "horizon", findings),
                parseDuration(flags, "adoption_delay", findings),
                parseDuration(flags, "retention", findings));
    return new ServeSettings(
        flags.getString("name"),
        flags.getString("failure_domain"),
        Arrays.asList(flags.getString("failure_domains").split(",", -1)),
        flags.getString("listen"),
        flags.getString("peer_listen"),
        flags.getString("log"),
        flags.getString("live_list"),
        parseNumber(flags, "appends_per_second", findings),
        parseDuration(flags, "drain_limit", findings),
        parseBoolean(flags, "fault_switch", findings),
        engine);
  }

  private static String flagOf(String field) {
    return "--" + field.replace('_', '-');
  }

  private static Duration parseDuration(Namespace flags, String field, List<Finding> findings) {
    String text = flags.getString(field);
    try {
      return Duration.parse(text);
    } catch (DateTimeException e) {
      findings.add(new Finding(flagOf(field), "must be a duration such as PT30S, but is " + text));
      return Duration.ofHours(1);
    }
  }

  private static int parseNumber(Namespace flags, String field, List<Finding> findings) {
    String text = flags.getString(field);
    if (text.matches("\\d{1,6}")) {
      return Integer.parseInt(text);
    }
    findings.add(new Finding(flagOf(field), "must be a whole number, but is " + text));
    return 1;
  }

  private static boolean parseBoolean(Namespace flags, String field, List<Finding> findings) {
    String text = flags.getString(field);
    if (!text.equals("true") && !text.equals("false")) {
      findings.add(new Finding(flagOf(field), "must be true or false, but is " + text));
    }
    return text.equals("true");
  }

  /** Blocks until the process is terminated, which drains the instance, or is interrupted. */
  private static ExitCode awaitShutdown(EntryInstance instance) {
    Thread drainHook =
        new Thread(
            () -> {
              boolean finished = instance.drain();
              Runtime.getRuntime().halt(finished ? ExitCode.OK.code() : ExitCode.REFUSED.code());
            },
            "drain");
    Runtime.getRuntime().addShutdownHook(drainHook);
    try {
      // A thread that joins itself waits until it is interrupted.
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      LOGGER.atInfo().log("main thread interrupted; draining the entry instance");
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }
}
