package org.hyssopport.console;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.hyssopport.launcher.cell.CellMember;
import org.hyssopport.launcher.cell.ClassArchiveWarmUp;
import org.hyssopport.platform.InstanceSettings;
import org.hyssopport.policy.Finding;

/**
 * Runs a member of a cell until the process is terminated. The settings file names the addresses of
 * the platform.
 */
final class CellCommand {

  static final String NAME = "cell";

  /** The command by which the build records the classes that a member loads. */
  static final String REHEARSE = "rehearse";

  private CellCommand() {}

  static void register(Subparsers subparsers) {
    subparsers
        .addParser(REHEARSE)
        .help("run a member without a platform, to record its classes in the build");
    Subparser parser = subparsers.addParser(NAME).help("run a member of a cell");
    parser
        .addArgument("--settings")
        .help(
            "the platform's settings file; default: the value of " + InstanceSettings.PATH_VARIABLE)
        .setDefault(System.getenv().getOrDefault(InstanceSettings.PATH_VARIABLE, ""));
  }

  /**
   * Exercises the code of a member without a platform, so that the build can record the loaded
   * classes in a class-data archive.
   */
  static ExitCode warmUpClassArchive(PrintStream out, PrintStream err) {
    try {
      ClassArchiveWarmUp.run(out);
      return ExitCode.OK;
    } catch (IOException e) {
      err.println("class archive warm-up failed: " + e.getMessage());
      return ExitCode.REFUSED;
    }
  }

  static ExitCode run(Namespace flags, PrintStream out, PrintStream err) {
    Path file = Path.of(flags.getString("settings"));
    Either<List<Finding>, InstanceSettings> settings = InstanceSettings.read(file);
    if (settings.isLeft()) {
      settings.getLeft().forEach(err::println);
      return ExitCode.USAGE;
    }
    try {
      CellMember member = CellMember.start(settings.get(), out);
      HangUpSignal.handle(() -> member.logReload(InstanceSettings.read(file)));
      return awaitShutdown(member);
    } catch (IOException e) {
      err.println("can't listen on an address from " + file + ": " + e.getMessage());
      return ExitCode.USAGE;
    }
  }

  /** Blocks until the process is terminated, which makes the member leave, or is interrupted. */
  private static ExitCode awaitShutdown(CellMember member) {
    Thread leaveHook =
        new Thread(
            () -> {
              member.leave();
              Runtime.getRuntime().halt(ExitCode.OK.code());
            },
            "leave");
    Runtime.getRuntime().addShutdownHook(leaveHook);
    try {
      // A thread that joins itself waits until it is interrupted.
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }
}
