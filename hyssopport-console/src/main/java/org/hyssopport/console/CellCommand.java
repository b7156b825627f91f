package org.hyssopport.console;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
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
    // A signal that comes while the member starts must not end the process beside open requests.
    CompletableFuture<CellMember> started = new CompletableFuture<>();
    HangUpSignal.handle(() -> logReload(started, file));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(started), "leave"));
    try {
      started.complete(CellMember.start(settings.get(), out));
      return awaitShutdown();
    } catch (IOException e) {
      err.println("can't listen on an address from " + file + ": " + e.getMessage());
      return ExitCode.USAGE;
    } finally {
      started.cancel(false);
    }
  }

  private static void logReload(CompletableFuture<CellMember> started, Path file) {
    if (started.isDone() && !started.isCancelled()) {
      started.join().logReload(InstanceSettings.read(file));
    }
  }

  /** Lets the member leave and ends the process; does nothing if the member has not started. */
  private static void leave(CompletableFuture<CellMember> started) {
    long terminatedAtNanos = System.nanoTime();
    try {
      started.join().leave(terminatedAtNanos);
    } catch (CancellationException e) {
      // The process exits with the code that says why the member has not started.
      return;
    }
    Runtime.getRuntime().halt(ExitCode.OK.code());
  }

  /** Blocks until the process is terminated, which makes the member leave, or is interrupted. */
  private static ExitCode awaitShutdown() {
    try {
      // A thread that joins itself waits until it is interrupted.
      Thread.currentThread().join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }
}
