package lemondock.cli;

import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Callable;
import lemondock.gateway.Gateway;
import lemondock.platform.PlatformMain;
import lemondock.simulator.WireHost;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * The program's command line. Exit codes: 0 all well, 1 a rule was broken, 2 bad use or settings.
 */
@Command(
    name = "lemondock",
    mixinStandardHelpOptions = true,
    versionProvider = Lemondock.Version.class,
    description = "A router for language-model serving with reads and writes on separate engines.",
    subcommands = {
      GatewayCommand.class,
      StandinCommand.class,
      CatalogueCommand.class,
      ConfigCommand.class,
      DemoCommand.class,
      BadDayCommand.class,
      StatusCommand.class,
      TallyCommand.class,
      MetricsCommand.class,
      PutvalCommand.class,
      CollectorCommand.class,
      PlatformCommand.class,
      Lemondock.NodeCommand.class,
      Lemondock.WireHostCommand.class
    })
public final class Lemondock implements Callable<Integer> {
  /** Tells the version. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      return new String[] {"lemondock " + Gateway.VERSION};
    }
  }

  /** Runs the program. */
  public static void main(String[] args) throws IOException, InterruptedException {
    if (args.length == 1 && args[0].equals("wirehost")) {
      WireHost.main(args); // the simulator's adapter starts with nothing around it
      return;
    }
    if (args.length > 0 && args[0].equals("node")) {
      PlatformMain.main(
          Arrays.copyOfRange(
              args, 1, args.length)); // as the platform starts it, by bin/lemondock-platform
      return;
    }
    CommandLine line = new CommandLine(new Lemondock());
    line.setExecutionExceptionHandler(
        (e, command, parsed) -> {
          command.getErr().println("lemondock: " + (e.getMessage() == null ? e : e.getMessage()));
          return 2;
        });
    System.exit(line.execute(args));
  }

  @Override
  public Integer call() {
    CommandLine.usage(this, System.err);
    return 2;
  }

  /** Shown in the help; {@link #main} runs it without the command line. */
  @Command(
      name = "node",
      description =
          "One gateway of the platform, told all by the file that ROUTER_CONFIG or CONFIG"
              + " names.")
  static final class NodeCommand implements Callable<Integer> {
    @Parameters(arity = "0..1", paramLabel = "CONFIG")
    private String config;

    @Override
    public Integer call() throws InterruptedException {
      PlatformMain.main(config == null ? new String[0] : new String[] {config});
      return 0;
    }
  }

  /** Shown in the help; {@link #main} runs it without the command line. */
  @Command(
      name = "wirehost",
      description = "The decisions on the simulator's wire (standard input and output).")
  static final class WireHostCommand implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      WireHost.main(new String[] {"wirehost"});
      return 0;
    }
  }
}
