package org.hyssopport.console;

import java.io.PrintStream;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The command line of the program: parses the arguments and runs the chosen command.
 *
 * @since 0.1
 * @see ExitCode
 */
public final class Hyssopport {

  private static final String VERSION = "0.1.0";
  private static final String COMMAND = "command";
  private static final String EPILOG =
      "exit codes: 0 success, 1 refused or failed, 2 invalid flags or settings, "
          + "3 no entry instance answered, 4 outcome unknown; "
          + "a flag that is not given is read from the environment variable HYSSOPPORT_ and its "
          + "name in capitals, such as HYSSOPPORT_ENTRY";

  private final Environment environment;
  private final PrintStream out;
  private final PrintStream err;

  private Hyssopport(Environment environment, PrintStream out, PrintStream err) {
    this.environment = environment;
    this.out = out;
    this.err = err;
  }

  /** Runs the command given by the arguments, and exits with its exit code. */
  public static void main(String[] arguments) {
    System.setProperty(
        "flogger.backend_factory",
        "com.google.common.flogger.backend.slf4j.Slf4jBackendFactory#getInstance");
    if (arguments.length > 0 && arguments[0].equals(CellCommand.NAME)) {
      System.setProperty(LogSetup.TARGET_PROPERTY, "System.out");
    }
    ExitCode code = run(arguments, System.getenv(), System.out, System.err);
    System.exit(code.code());
  }

  /**
   * Runs one command.
   *
   * @param arguments the command line
   * @param variables the environment variables
   * @param out the stream for results
   * @param err the stream for errors and findings
   * @return the exit code
   */
  public static ExitCode run(
      String[] arguments, Map<String, String> variables, PrintStream out, PrintStream err) {
    Hyssopport program = new Hyssopport(Environment.of(variables), out, err);
    ArgumentParser parser = program.createParser();
    try {
      return program.execute(parser.parseArgs(arguments));
    } catch (HelpScreenException e) {
      return ExitCode.OK;
    } catch (ArgumentParserException e) {
      err.println(e.getMessage());
      err.println("run hyssopport --help for the commands");
      return ExitCode.USAGE;
    }
  }

  private ArgumentParser createParser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("hyssopport")
            .build()
            .version("hyssopport " + VERSION)
            .description("Schedules services, batch jobs and gangs on a shared cluster.")
            .epilog(EPILOG);
    parser.addArgument("--version").action(Arguments.version());
    Subparsers commands = parser.addSubparsers().dest(COMMAND).metavar("COMMAND");
    ServeCommand.register(commands, environment);
    CellCommand.register(commands);
    addConfigurationCommands(commands);
    Subparser submit =
        addClientCommand(commands, "submit", "send a request or a job from a JSON file");
    submit.addArgument("file").help("the JSON file, or - for standard input");
    addJobCommands(commands);
    addClientCommand(commands, "status", "show the state of an entry instance");
    addTimelineCommand(commands);
    return parser;
  }

  private void addConfigurationCommands(Subparsers commands) {
    Subparsers subcommands =
        commands
            .addParser("configuration")
            .help("check, publish or show the configuration")
            .addSubparsers()
            .dest("subcommand")
            .metavar("SUBCOMMAND");
    Subparser check = subcommands.addParser("check").help("check a configuration file");
    check.addArgument("file").help("the file, or - for standard input");
    Subparser publish = addClientCommand(subcommands, "publish", "publish a configuration file");
    publish.addArgument("file").help("the file, or - for standard input");
    environment.bindOptional(
        publish
            .addArgument("--base")
            .help("the version that this configuration changes; -1 for the first one"),
        "--base",
        "-1");
    addClientCommand(subcommands, "show", "show the configuration in force");
  }

  private void addJobCommands(Subparsers commands) {
    Subparsers subcommands =
        commands
            .addParser("job")
            .help("show, list or cancel jobs")
            .addSubparsers()
            .dest("subcommand")
            .metavar("SUBCOMMAND");
    addClientCommand(subcommands, "show", "show a job").addArgument("id").help("the job's id");
    addClientCommand(subcommands, "list", "list all known jobs");
    addClientCommand(subcommands, "cancel", "cancel jobs")
        .addArgument("id")
        .nargs("+")
        .help("the jobs' ids");
  }

  private void addTimelineCommand(Subparsers commands) {
    Subparser timeline =
        commands
            .addParser("timeline")
            .help("show the events of several entry instances in order of time");
    environment.bindRequired(
        timeline
            .addArgument("--entries")
            .help("host:port of the entry instances, separated by commas"),
        "--entries");
    timeline
        .addArgument("--format")
        .choices("text", "json", "html")
        .setDefault("text")
        .help("the output format");
  }

  private Subparser addClientCommand(Subparsers subparsers, String name, String help) {
    Subparser parser = subparsers.addParser(name).help(help);
    environment.bindRequired(
        parser.addArgument("--entry").help("host:port of an entry instance"), "--entry");
    parser.addArgument("--format").choices("text", "json").setDefault("text");
    return parser;
  }

  private ExitCode execute(Namespace flags) {
    boolean json = "json".equals(flags.getString("format"));
    ClientCommands client = new ClientCommands(flags, new Output(out, err, json));
    String subcommand = flags.getString("subcommand");
    String command = flags.getString(COMMAND);
    return switch (subcommand == null ? command : command + " " + subcommand) {
      case ServeCommand.NAME -> ServeCommand.run(flags, err);
      case CellCommand.REHEARSE -> CellCommand.warmUpClassArchive(out, err);
      case CellCommand.NAME -> CellCommand.run(flags, out, err);
      case "configuration check" -> client.checkConfiguration();
      case "configuration publish" -> client.publishConfiguration();
      case "configuration show" -> client.showConfiguration();
      case "submit" -> client.submit();
      case "job show" -> client.showJob();
      case "job list" -> client.listJobs();
      case "job cancel" -> client.cancelJobs();
      case "status" -> client.status();
      case "timeline" -> TimelineCommand.run(flags, out, err);
      default -> throw new IllegalStateException("command without implementation: " + command);
    };
  }
}
