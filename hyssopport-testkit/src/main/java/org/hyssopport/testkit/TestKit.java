package org.hyssopport.testkit;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.hyssopport.testkit.demo.CellLayout;
import org.hyssopport.testkit.demo.DemoHttpClient;
import org.hyssopport.testkit.demo.DemoWorkload;
import org.hyssopport.testkit.demo.Firm;
import org.hyssopport.testkit.standin.LiveListServer;
import org.hyssopport.testkit.standin.LogModel;
import org.hyssopport.testkit.standin.LogServer;
import org.hyssopport.testkit.standin.WorkerModel;
import org.hyssopport.testkit.standin.WorkerServer;

/**
 * Command line that runs the stand-ins and the steps of the demonstration.
 *
 * @since 0.1
 */
public final class TestKit {

  private static final int USAGE_EXIT_CODE = 2;

  private TestKit() {}

  /**
   * Runs the command that the arguments name.
   *
   * <p>The process exits with 1 if a demonstration command fails, and with 2 on a usage error.
   *
   * @throws IOException if a stand-in can't bind its port
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    ArgumentParser parser = parser();
    try {
      runCommand(parser.parseArgs(arguments));
    } catch (HelpScreenException e) {
      System.exit(0);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(USAGE_EXIT_CODE);
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("testkit")
            .build()
            .description("Runs the stand-ins and the demonstration.");
    Subparsers commands = parser.addSubparsers().dest("command").metavar("COMMAND");
    Subparser log = commands.addParser("log").help("run the stand-in log");
    log.addArgument("--port").type(Integer.class).required(true);
    log.addArgument("--retention").setDefault("PT6H");
    log.addArgument("--cap").type(Integer.class).setDefault(400);
    Subparser liveList = commands.addParser("live-list").help("run the stand-in live list");
    liveList.addArgument("--port").type(Integer.class).required(true);
    Subparser worker = commands.addParser("worker").help("run a stand-in worker");
    worker.addArgument("--name").required(true);
    worker.addArgument("--port").type(Integer.class).required(true);
    addCellCommand(commands, "policy", "print a firm's configuration");
    addCellCommand(commands, "list-cell", "publish a cell's instances to the live list");
    addCellCommand(
        commands, "day", "run a firm's workload on a running cell and check its outcomes");
    return parser;
  }

  private static void addCellCommand(Subparsers commands, String name, String help) {
    Subparser parser = commands.addParser(name).help(help);
    parser.addArgument("--firm").choices("ardennes", "tanimura").setDefault("ardennes");
    parser.addArgument("--base-port").type(Integer.class).setDefault(21000);
    parser.addArgument("--entries").type(Integer.class).setDefault(3);
    parser.addArgument("--workers").type(Integer.class).setDefault(10);
  }

  private static void runCommand(Namespace flags) throws IOException, InterruptedException {
    switch (flags.getString("command")) {
      case "log" -> {
        Duration retention = Duration.parse(flags.getString("retention"));
        LogServer.start(LogModel.create(retention, flags.getInt("cap")), flags.getInt("port"));
        Thread.currentThread().join();
      }
      case "live-list" -> {
        LiveListServer.start(flags.getInt("port"));
        Thread.currentThread().join();
      }
      case "worker" -> {
        WorkerServer.start(WorkerModel.create(flags.getString("name")), flags.getInt("port"));
        Thread.currentThread().join();
      }
      case "policy" -> layoutFrom(flags).firm().configuration().print(System.out);
      case "list-cell" -> {
        CellLayout layout = layoutFrom(flags);
        boolean published =
            DemoHttpClient.create()
                .post(layout.liveListAddress(), "/instances", layout.instances())
                .isPresent();
        System.exit(published ? 0 : 1);
      }
      case "day" -> System.exit(DemoWorkload.run(layoutFrom(flags), System.out) ? 0 : 1);
      default -> throw new IllegalStateException("unknown command: " + flags.getString("command"));
    }
  }

  private static CellLayout layoutFrom(Namespace flags) {
    Firm firm = Firm.valueOf(flags.getString("firm").toUpperCase(Locale.ROOT));
    return new CellLayout(
        firm, flags.getInt("base_port"), flags.getInt("entries"), flags.getInt("workers"));
  }
}
